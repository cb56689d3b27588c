package org.woadloom.core.machines;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates what a machine's image cache holds: the most recently used images. The estimate is only
 * used to prefer some machines over others, so it may be wrong.
 */
public final class ImageCache {
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Records a use of the image, and evicts the least recently used other images until all fit.
     */
    public void touch(String image, double gb, double cacheGb) {
        images.put(image, gb);
        double total = 0;
        for (double size : images.values()) {
            total += size;
        }
        var oldest = images.entrySet().iterator();
        while (total > cacheGb && images.size() > 1 && oldest.hasNext()) {
            Map.Entry<String, Double> entry = oldest.next();
            if (entry.getKey().equals(image)) {
                continue;
            }
            total -= entry.getValue();
            oldest.remove();
        }
    }

    public boolean contains(String image) {
        return images.containsKey(image);
    }

    public void clear() {
        images.clear();
    }
}
