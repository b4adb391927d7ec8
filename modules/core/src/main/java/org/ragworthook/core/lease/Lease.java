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
 * A lease as stored at the platform. The record is JSON with the keys {@code epoch},
 * {@code holder} and {@code period_millis}.
 *
 * @param name the name of the lease
 * @param epoch the fencing token, incremented by each acquisition
 * @param holder the id of the holder, unique to its process run; empty if the lease was
 * released
 * @param period how long the lease is valid after its last write
 */
public record Lease(String name, long epoch, String holder, Duration period) {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String EPOCH = "epoch";

	private static final String HOLDER = "holder";

	private static final String PERIOD = "period_millis";

	/**
	 * Checks that no component is null.
	 */
	public Lease {
		Objects.requireNonNull(name, "name is null");
		Objects.requireNonNull(holder, "holder is null");
		Objects.requireNonNull(period, "period is null");
	}

	/**
	 * Parses the record of a lease.
	 * @param name the name of the lease
	 * @param text the record, as JSON
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
	 * Returns the key of the record of a lease.
	 * @param name the name of the lease
	 * @return the key
	 */
	public static ObjectKey key(String name) {
		return ObjectKey.of(Kind.LEASE, name);
	}

	/**
	 * Returns the record of the lease.
	 * @return the record, as JSON
	 */
	public String text() {
		return JSON.createObjectNode()
			.put(EPOCH, this.epoch)
			.put(HOLDER, this.holder)
			.put(PERIOD, this.period.toMillis())
			.toString();
	}

	/**
	 * Returns whether the last holder has released the lease.
	 * @return whether the lease may be acquired immediately
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

	/**
	 * Returns the lease as acquired by a new holder.
	 * @param newHolder the id of the new holder
	 * @param newPeriod the period of the new holder
	 * @return the lease with the next epoch
	 */
	public Lease acquiredBy(String newHolder, Duration newPeriod) {
		return new Lease(this.name, this.epoch + 1, newHolder, newPeriod);
	}

	/**
	 * Returns the lease without a holder. The epoch is kept, so that the next acquisition
	 * increments it above everything sent so far.
	 * @return the released lease
	 */
	public Lease asReleased() {
		return new Lease(this.name, this.epoch, "", this.period);
	}

}
