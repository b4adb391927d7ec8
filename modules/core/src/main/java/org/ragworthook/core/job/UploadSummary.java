package org.ragworthook.core.job;

import java.util.List;

/**
 * What an upload came to.
 *
 * @param chunks how many chunks
 * @param items how many lines
 * @param bytes how many bytes
 * @param sha256 the hash of the bytes
 * @param models the models that the lines name, up to a bound
 * @param endpoint the path that all lines go to
 */
record UploadSummary(int chunks, int items, long bytes, String sha256, List<String> models, String endpoint) {
}
