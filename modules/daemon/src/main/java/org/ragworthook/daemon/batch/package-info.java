/**
 * Batch at an entry: the callers' interface to files and jobs as the OpenAI API shapes
 * it, and the entry's part in running the jobs. Its work is done on a thread of its own,
 * so that no online request waits behind it on an event loop.
 */
package org.ragworthook.daemon.batch;
