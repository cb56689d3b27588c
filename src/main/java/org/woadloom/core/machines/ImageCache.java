package org.woadloom.core.machines;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a machine's image cache should hold: the most recently used images. An estimate, by which
 * machines are preferred; nothing relies on it.
 */
public final class ImageCache {
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * The image was used: it is in the cache, and the least recently used others have made place.
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
