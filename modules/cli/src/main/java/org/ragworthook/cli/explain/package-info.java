/**
 * Reads the log lines of entries and tells which requests were late, refused or failed,
 * and which decisions led there.
 */
package org.ragworthook.cli.explain;
