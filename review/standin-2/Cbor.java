import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR as the protocol page limits it: maps with text keys, lists, text, numbers, booleans, null. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else if (n < 0x100) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n < 0x10000) {
            out.write(m | 25);
            bytes(out, n, 2);
        } else if (n < 0x100000000L) {
            out.write(m | 26);
            bytes(out, n, 4);
        } else {
            out.write(m | 27);
            bytes(out, n, 8);
        }
    }

    private static void bytes(ByteArrayOutputStream out, long n, int count) {
        for (int i = count - 1; i >= 0; i--) {
            out.write((int) (n >>> (8 * i)) & 0xff);
        }
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (value instanceof Long || value instanceof Integer) {
            long n = ((Number) value).longValue();
            if (n >= 0) {
                head(out, 0, n);
            } else {
                head(out, 1, -1 - n);
            }
        } else if (value instanceof Double d) {
            out.write(0xfb);
            bytes(out, Double.doubleToLongBits(d), 8);
        } else if (value instanceof String s) {
            byte[] utf8 = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, utf8.length);
            out.writeBytes(utf8);
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            list.forEach(item -> write(out, item));
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach(
                    (k, v) -> {
                        write(out, k);
                        write(out, v);
                    });
        } else {
            throw new IllegalArgumentException("no CBOR for " + value.getClass());
        }
    }

    static Object decode(byte[] body) {
        return new Reader(body).value();
    }

    /** A map, or an empty one where the body is none. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] body) {
        try {
            return decode(body) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
        } catch (RuntimeException e) {
            return Map.of();
        }
    }

    private static final class Reader {
        private final byte[] in;
        private int at;

        Reader(byte[] in) {
            this.in = in;
        }

        private long number(int info) {
            if (info < 24) {
                return info;
            }
            int count = 1 << (info - 24);
            long n = 0;
            for (int i = 0; i < count; i++) {
                n = n << 8 | (in[at++] & 0xff);
            }
            return n;
        }

        Object value() {
            int first = in[at++] & 0xff;
            int major = first >> 5;
            int info = first & 31;
            switch (major) {
                case 0:
                    return number(info);
                case 1:
                    return -1 - number(info);
                case 3:
                    return text(info);
                case 4:
                    return list(info);
                case 5:
                    return mapOf(info);
                case 7:
                    return simple(info);
                default:
                    throw new IllegalArgumentException("major type " + major);
            }
        }

        private String text(int info) {
            if (info == 31) {
                StringBuilder all = new StringBuilder();
                while ((in[at] & 0xff) != 0xff) {
                    all.append(value());
                }
                at++;
                return all.toString();
            }
            int length = (int) number(info);
            at += length;
            return new String(in, at - length, length, StandardCharsets.UTF_8);
        }

        private List<Object> list(int info) {
            List<Object> list = new ArrayList<>();
            long count = info == 31 ? Long.MAX_VALUE : number(info);
            for (long i = 0; i < count; i++) {
                if (info == 31 && (in[at] & 0xff) == 0xff) {
                    at++;
                    break;
                }
                list.add(value());
            }
            return list;
        }

        private Map<String, Object> mapOf(int info) {
            Map<String, Object> map = new LinkedHashMap<>();
            long count = info == 31 ? Long.MAX_VALUE : number(info);
            for (long i = 0; i < count; i++) {
                if (info == 31 && (in[at] & 0xff) == 0xff) {
                    at++;
                    break;
                }
                String key = (String) value();
                map.put(key, value());
            }
            return map;
        }

        private Object simple(int info) {
            switch (info) {
                case 20:
                    return false;
                case 21:
                    return true;
                case 22:
                case 23:
                    return null;
                case 26:
                    return (double) Float.intBitsToFloat((int) number(26));
                case 27:
                    return Double.longBitsToDouble(number(27));
                case 25:
                    return half((int) number(25));
                default:
                    throw new IllegalArgumentException("simple value " + info);
            }
        }

        private static double half(int h) {
            int exp = h >> 10 & 31;
            int mant = h & 1023;
            double v =
                    exp == 0
                            ? mant * Math.pow(2, -24)
                            : exp == 31
                                    ? (mant == 0 ? Double.POSITIVE_INFINITY : Double.NaN)
                                    : (1024 + mant) * Math.pow(2, exp - 25);
            return (h & 0x8000) == 0 ? v : -v;
        }
    }

    /** The size of a value as compact JSON, in which the page counts its limits. */
    static int jsonSize(Object value) {
        if (value instanceof Map<?, ?> map) {
            int size = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> e : map.entrySet()) {
                size += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue());
            }
            return size;
        }
        if (value instanceof List<?> list) {
            int size = 2 + Math.max(0, list.size() - 1);
            for (Object item : list) {
                size += jsonSize(item);
            }
            return size;
        }
        if (value instanceof String s) {
            return 2 + s.length();
        }
        return String.valueOf(value).length();
    }
}
