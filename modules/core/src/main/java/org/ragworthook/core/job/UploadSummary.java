package org.ragworthook.core.job;

import java.util.List;

/**
 * The size and content summary of an upload.
 *
 * @param chunks the number of chunks
 * @param items the number of items, one a line
 * @param bytes the size of the content, in bytes
 * @param sha256 the SHA-256 hash of the content, in hexadecimal
 * @param models the models that the items name, up to a limit
 * @param endpoint the request path of all items
 */
record UploadSummary(int chunks, int items, long bytes, String sha256, List<String> models, String endpoint) {
}
