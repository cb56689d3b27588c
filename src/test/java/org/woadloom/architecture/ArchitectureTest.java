package org.woadloom.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks the layers and dependency rules of docs/architecture.md. */
class ArchitectureTest {
    private static final String ROOT = "org.woadloom";

    private static JavaClasses productionClasses;

    @BeforeAll
    static void readClasses() {
        productionClasses =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages(ROOT);
    }

    @Test
    void layersDependOnlyOnLowerLayers() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("programs")
                .definedBy(ROOT + ".cli..")
                .layer("composition")
                .definedBy(ROOT + ".node..")
                .layer("services")
                .definedBy(
                        ROOT + ".http..",
                        ROOT + ".reads..",
                        ROOT + ".peer..",
                        ROOT + ".leader..",
                        ROOT + ".cloud..",
                        ROOT + ".agent..",
                        ROOT + ".metrics..")
                .layer("decisions")
                .definedBy(ROOT + ".core..")
                .layer("storage")
                .definedBy(ROOT + ".store..")
                .layer("transport")
                .definedBy(ROOT + ".net..")
                .layer("base")
                .definedBy(ROOT + ".settings..", ROOT + ".protocol..", ROOT + ".invariant..")
                .whereLayer("programs")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("composition")
                .mayOnlyBeAccessedByLayers("programs")
                .whereLayer("services")
                .mayOnlyBeAccessedByLayers("programs", "composition")
                .whereLayer("decisions")
                .mayOnlyBeAccessedByLayers("programs", "composition", "services")
                .whereLayer("storage")
                .mayOnlyBeAccessedByLayers("programs", "composition", "services", "decisions")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("programs", "composition", "services", "storage")
                .check(productionClasses);
    }

    @Test
    void packagesHaveNoCyclicDependencies() {
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(productionClasses);
    }

    @Test
    void coreUsesNoClockRandomnessOrIo() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "org.slf4j..",
                        "org.xnio..",
                        "io.undertow..")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Random")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(productionClasses);
    }

    @Test
    void coreDoesNotUseTheStoreClient() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".core..")
                .should()
                .dependOnClassesThat()
                .haveSimpleNameStartingWith("StoreClient")
                .check(productionClasses);
    }

    /**
     * Jobs, machines, quota, reservations and placement form one model. It may report to the
     * service level tracking, but must not depend on the features built on it.
     */
    @Test
    void jobAndMachineModelDoesNotDependOnFeaturesBuiltOnIt() {
        classes()
                .that()
                .resideInAnyPackage(
                        ROOT + ".core.jobs..",
                        ROOT + ".core.machines..",
                        ROOT + ".core.quota..",
                        ROOT + ".core.reservation..",
                        ROOT + ".core.placement..")
                .should()
                .onlyDependOnClassesThat()
                .resideOutsideOfPackages(
                        ROOT + ".core.autoscaling..",
                        ROOT + ".core.rollout..",
                        ROOT + ".core.cancellation..")
                .check(productionClasses);
    }
}
