package org.ragworthook.core.lease;

import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.StoreException;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.ObjectKey;

/**
 * Who is in charge of something, as recorded at the platform. The record is JSON with the
 * keys {@code epoch}, {@code holder} and {@code period_millis}.
 *
 * @param name what the lease is for
 * @param epoch the fencing number; raised by each take-over
 * @param holder the holder's identity, unique to its run; empty if the lease was released
 * @param period how long it holds after its last write
 */
public record Lease(String name, long epoch, String holder, Duration period) {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String EPOCH = "epoch";

	private static final String HOLDER = "holder";

	private static final String PERIOD = "period_millis";

	/**
	 * Checks that all parts are there.
	 */
	public Lease {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(holder, "holder is null");
		Objects.requireNonNull(period, "period is null");
	}

	/**
	 * Reads a lease from its record.
	 * @param name what the lease is for
	 * @param text the record's value
	 * @return the lease
	 * @throws StoreException if the record is not well-formed
	 */
	public static Lease parse(String name, String text) {
		try {
			JsonNode node = JSON.readTree(text);
			return new Lease(name, node.required(EPOCH).asLong(), node.required(HOLDER).asText(),
					Duration.ofMillis(node.required(PERIOD).asLong()));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new StoreException(ErrorCode.INTERNAL, "the record of lease " + name + " is not well-formed", ex);
		}
	}

	/**
	 * Returns the key of a lease's record.
	 * @param name what the lease is for
	 * @return the key
	 */
	public static ObjectKey key(String name) {
		return ObjectKey.of(Kind.LEASE, name);
	}

	/**
	 * Returns the value of the record.
	 * @return the text, as JSON
	 */
	public String text() {
		return JSON.createObjectNode()
			.put(EPOCH, this.epoch)
			.put(HOLDER, this.holder)
			.put(PERIOD, this.period.toMillis())
			.toString();
	}

	/**
	 * Tells whether the last holder gave the lease up.
	 * @return whether anybody may take it at once
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

	/**
	 * Returns the lease as its next holder takes it.
	 * @param taker the next holder
	 * @param wanted the next holder's period
	 * @return the lease with the next epoch
	 */
	public Lease acquiredBy(String taker, Duration wanted) {
		return new Lease(this.name, this.epoch + 1, taker, wanted);
	}

	/**
	 * Returns the lease without a holder. The epoch stays, so that the next taker raises
	 * it above everything sent so far.
	 * @return the lease as it is released
	 */
	public Lease asReleased() {
		return new Lease(this.name, this.epoch, "", this.period);
	}

}
