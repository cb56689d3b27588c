package org.woadloom.protocol;

/** Identifies a task of a job; its text form is, for example, {@code j-000412/3}. */
public record TaskId(String jobId, int index) {
    public static TaskId parse(String text) throws MalformedMessageException {
        int slash = text.indexOf('/');
        if (slash > 0) {
            try {
                int index = Integer.parseInt(text.substring(slash + 1));
                if (index >= 0) {
                    return new TaskId(text.substring(0, slash), index);
                }
            } catch (NumberFormatException e) {
                // Reported below, like all other malformed ids.
            }
        }
        throw new MalformedMessageException(
                TaskStatus.Field.TASK
                        + ": expected an id such as j-000412/3, was "
                        + ErrorText.quoted(text));
    }

    @Override
    public String toString() {
        return jobId + "/" + index;
    }
}
