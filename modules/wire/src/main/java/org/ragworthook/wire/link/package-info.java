/**
 * Links between processes: TCP connections that carry frames of one lane each, opened
 * with a greeting, kept alive sparsely and, from the side that connects, opened again
 * when lost.
 */
package org.ragworthook.wire.link;
