package org.ragworthook.objectapi;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts calls to the object API by verb, and the bytes that went either way.
 */
public final class StoreCalls {

	private final Map<StoreVerb, LongAdder> calls = new EnumMap<>(StoreVerb.class);

	private final LongAdder bytesSent = new LongAdder();

	private final LongAdder bytesReceived = new LongAdder();

	private StoreCalls() {
		for (StoreVerb verb : StoreVerb.values()) {
			this.calls.put(verb, new LongAdder());
		}
	}

	/**
	 * Returns counters that stand at zero.
	 * @return new counters
	 */
	public static StoreCalls zero() {
		return new StoreCalls();
	}

	/**
	 * Counts a call.
	 * @param verb its kind
	 */
	public void add(StoreVerb verb) {
		this.calls.get(Objects.requireNonNull(verb, "verb is null")).increment();
	}

	/**
	 * Counts bytes of a request's body.
	 * @param bytes how many
	 */
	public void sent(int bytes) {
		this.bytesSent.add(bytes);
	}

	/**
	 * Counts bytes of an answer's body.
	 * @param bytes how many
	 */
	public void received(int bytes) {
		this.bytesReceived.add(bytes);
	}

	/**
	 * Returns how many calls of one kind were made.
	 * @param verb the kind
	 * @return calls since the start, those without an answer included
	 */
	public long count(StoreVerb verb) {
		return this.calls.get(Objects.requireNonNull(verb, "verb is null")).sum();
	}

	/**
	 * Returns how many calls were made.
	 * @return calls of every kind since the start
	 */
	public long total() {
		return this.calls.values().stream().mapToLong(LongAdder::sum).sum();
	}

	/**
	 * Returns how many bytes were sent.
	 * @return bytes of bodies, headers not counted
	 */
	public long bytesSent() {
		return this.bytesSent.sum();
	}

	/**
	 * Returns how many bytes were received.
	 * @return bytes of bodies, headers not counted
	 */
	public long bytesReceived() {
		return this.bytesReceived.sum();
	}

}
