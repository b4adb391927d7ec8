package org.ragworthook.gateway.job;

import java.util.Optional;

import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.RecordStore;

/**
 * The largest document that this process writes into one object of the store. The limit
 * is lowered when the store refuses an object as too large: the platform may count an
 * object in another way, and would refuse the same object for good.
 */
final class ObjectSizeLimit {

	private static final EventLog LOG = EventLog.of(ObjectSizeLimit.class);

	/** Most room that is left for the metadata and the status of an object. */
	private static final long MAX_ENVELOPE_BYTES = 16_384;

	/** Smaller documents are not split any further. */
	static final long MIN_BYTES = 4_096;

	private volatile long bytes;

	private ObjectSizeLimit(long bytes) {
		this.bytes = bytes;
	}

	static ObjectSizeLimit of(RecordStore store) {
		long envelope = Math.min(MAX_ENVELOPE_BYTES, store.maxObjectBytes() / 4);
		return new ObjectSizeLimit(Math.max(MIN_BYTES, store.maxObjectBytes() - envelope));
	}

	/**
	 * Returns the limit.
	 * @return the most bytes of a document, encoded as a JSON string
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Lowers the limit if a write has failed because the document was too large.
	 * @param document the document
	 * @param failure why the write has failed
	 */
	void writeFailed(String document, Throwable failure) {
		if (isTooLarge(failure)) {
			long before = this.bytes;
			long refused = JsonSize.max(document);
			this.bytes = Math.max(MIN_BYTES, Math.min(before, refused * 3 / 4));
			LOG.warning("object_too_large", "bytes", refused, "limit_before", before, "limit", this.bytes, "error",
					Failures.root(failure));
		}
	}

	/**
	 * Returns whether a write had no effect because an object was too large.
	 * @param failure why the write has failed
	 * @return whether the store, or this process on its behalf, has refused an object
	 */
	static boolean isTooLarge(Throwable failure) {
		Optional<ErrorCode> code = ConditionalWriter.codeOf(failure);
		return code.filter((found) -> found == ErrorCode.STORE_TOO_LARGE).isPresent();
	}

}
