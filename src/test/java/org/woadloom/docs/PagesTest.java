package org.woadloom.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.woadloom.core.LogEvent;

/** Checks links, code names and the list of log events in the documentation pages. */
class PagesTest {
    private static final Path DOCS = Path.of("docs");
    private static final Path OPERATIONS = DOCS.resolve("operations.md");
    private static final Path MAIN_SOURCES = Path.of("src/main/java/org/woadloom");
    private static final Path TEST_SOURCES = Path.of("src/test/java/org/woadloom");

    private static final List<Path> ROOT_PAGES =
            List.of(Path.of("README.md"), Path.of("CONTRIBUTING.md"), Path.of("DEVELOPERS.md"));

    /** Pages in which every type, package and source path must exist in the code. */
    private static final List<Path> PAGES_WITH_CODE_NAMES =
            List.of(
                    DOCS.resolve("architecture.md"),
                    DOCS.resolve("safety.md"),
                    DOCS.resolve("design.md"));

    private static final Pattern LINK = Pattern.compile("]\\(([^)\\s]+)\\)");
    private static final Pattern EXTERNAL_LINK = Pattern.compile("[a-z]+:.*");
    private static final Pattern HEADING = Pattern.compile("(?m)^#+ +(.+?) *$");
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`\\n]+)`");
    private static final Pattern EVENT_LITERAL = Pattern.compile("\"event=([a-z_]+)");

    /** The first cell of a row in the tables of log events: one or more names in backticks. */
    private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| (`[a-z_`, ]+`)[^|`]*\\|");

    /** A package and a type, optionally followed by nested types or members. */
    private static final Pattern QUALIFIED_TYPE =
            Pattern.compile("((?:[a-z][a-z0-9]*\\.)+[A-Z]\\w*)((?:\\.\\w+)*)(?:\\(.*)?");

    private static final Pattern NESTED_TYPE = Pattern.compile("\\.([A-Z]\\w*[a-z]\\w*)");
    private static final Pattern CORE_PACKAGE = Pattern.compile("core(?:\\.[a-z]+)+");
    private static final Pattern SOURCE_PATH = Pattern.compile("src/[\\w./-]+");

    @Test
    void relativeLinksPointToExistingFilesAndHeadings() throws IOException {
        List<String> broken = new ArrayList<>();
        for (Path page : pages()) {
            Matcher link = LINK.matcher(Files.readString(page));
            while (link.find()) {
                if (!EXTERNAL_LINK.matcher(link.group(1)).matches()
                        && !linkTargetExists(page, link.group(1))) {
                    broken.add(page + ": " + link.group(1));
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    @Test
    void operationsPageExplainsEveryLogEvent() throws IOException {
        Set<String> unexplained = loggedEvents();
        unexplained.removeAll(explainedEvents());
        assertEquals(Set.of(), unexplained);
    }

    @Test
    void operationsPageExplainsOnlyLoggedEvents() throws IOException {
        Set<String> unknown = explainedEvents();
        unknown.removeAll(loggedEvents());
        assertEquals(Set.of(), unknown);
    }

    @Test
    void typesPackagesAndPathsNamedInPagesExist() throws IOException {
        Set<String> sources = sourceFiles();
        List<String> missing = new ArrayList<>();
        for (Path page : PAGES_WITH_CODE_NAMES) {
            List<String> names = codeSpans(page);
            assertFalse(names.isEmpty(), page + " has no code spans");
            for (String name : names) {
                if (!existsIfCodeName(name, sources)) {
                    missing.add(page + ": " + name);
                }
            }
        }
        assertEquals(List.of(), missing);
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(ROOT_PAGES);
        pages.addAll(filesBelow(DOCS, ".md"));
        return pages;
    }

    private static List<Path> filesBelow(Path root, String suffix) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(file -> file.toString().endsWith(suffix))
                    .sorted()
                    .collect(Collectors.toList());
        }
    }

    private static boolean linkTargetExists(Path page, String link) throws IOException {
        int hash = link.indexOf('#');
        String file = hash < 0 ? link : link.substring(0, hash);
        Path target = file.isEmpty() ? page : page.resolveSibling(file);
        if (!Files.exists(target)) {
            return false;
        }
        return hash < 0 || anchors(target).contains(link.substring(hash + 1));
    }

    /** The anchors that GitHub generates for the headings of a page. */
    private static Set<String> anchors(Path page) throws IOException {
        Set<String> anchors = new TreeSet<>();
        Matcher heading = HEADING.matcher(Files.readString(page));
        while (heading.find()) {
            anchors.add(
                    heading.group(1)
                            .toLowerCase(Locale.ROOT)
                            .replaceAll("[^\\w -]", "")
                            .replace(' ', '-'));
        }
        return anchors;
    }

    private static Set<String> loggedEvents() throws IOException {
        Set<String> events = new TreeSet<>();
        for (LogEvent event : LogEvent.values()) {
            events.add(event.text());
        }
        for (Path source : filesBelow(MAIN_SOURCES, ".java")) {
            Matcher literal = EVENT_LITERAL.matcher(Files.readString(source));
            while (literal.find()) {
                events.add(literal.group(1));
            }
        }
        return events;
    }

    private static Set<String> explainedEvents() throws IOException {
        String page = Files.readString(OPERATIONS);
        int start = page.indexOf("\n## Logs\n");
        String logsSection = page.substring(start, page.indexOf("\n## ", start + 1));
        Set<String> events = new TreeSet<>();
        Matcher row = EVENT_ROW.matcher(logsSection);
        while (row.find()) {
            Matcher name = CODE_SPAN.matcher(row.group(1));
            while (name.find()) {
                events.add(name.group(1));
            }
        }
        return events;
    }

    private static List<String> codeSpans(Path page) throws IOException {
        List<String> spans = new ArrayList<>();
        Matcher span = CODE_SPAN.matcher(Files.readString(page));
        while (span.find()) {
            spans.add(span.group(1));
        }
        return spans;
    }

    /** All Java sources as paths such as {@code /core/Scheduler.java}. */
    private static Set<String> sourceFiles() throws IOException {
        Set<String> sources = new TreeSet<>();
        for (Path root : List.of(MAIN_SOURCES, TEST_SOURCES)) {
            for (Path source : filesBelow(root, ".java")) {
                sources.add("/" + root.relativize(source));
            }
        }
        return sources;
    }

    /** Whether a type, core package or source path exists; true for any other text. */
    private static boolean existsIfCodeName(String name, Set<String> sources) throws IOException {
        if (SOURCE_PATH.matcher(name).matches()) {
            return Files.exists(Path.of(name));
        }
        if (CORE_PACKAGE.matcher(name).matches()) {
            return Files.isDirectory(MAIN_SOURCES.resolve(name.replace('.', '/')));
        }
        Matcher type = QUALIFIED_TYPE.matcher(name);
        if (!type.matches()) {
            return true;
        }
        String file = "/" + type.group(1).replace("org.woadloom.", "").replace('.', '/') + ".java";
        for (String source : sources) {
            if (source.endsWith(file)) {
                return declaresNestedTypes(source, type.group(2));
            }
        }
        return false;
    }

    private static boolean declaresNestedTypes(String source, String members) throws IOException {
        Path inMain = Path.of(MAIN_SOURCES + source);
        Path file = Files.exists(inMain) ? inMain : Path.of(TEST_SOURCES + source);
        String text = Files.readString(file);
        Matcher nested = NESTED_TYPE.matcher(members);
        while (nested.find()) {
            String declaration = "\\b(class|record|enum|interface) " + nested.group(1) + "\\b";
            if (!Pattern.compile(declaration).matcher(text).find()) {
                return false;
            }
        }
        return true;
    }
}
