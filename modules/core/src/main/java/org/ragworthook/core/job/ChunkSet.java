package org.ragworthook.core.job;

import java.util.Base64;
import java.util.BitSet;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * An immutable set of chunk numbers, stored compactly in a job's record as one bit for
 * each chunk.
 */
public final class ChunkSet {

	/** The empty set. */
	public static final ChunkSet EMPTY = new ChunkSet(new BitSet());

	private final BitSet bits;

	private ChunkSet(BitSet bits) {
		this.bits = bits;
	}

	/**
	 * Parses a set from its stored form.
	 * @param text the form that {@link #text()} returns
	 * @return the set
	 */
	@JsonCreator
	public static ChunkSet parse(String text) {
		return new ChunkSet(BitSet.valueOf(Base64.getDecoder().decode(text)));
	}

	/**
	 * Returns the stored form of this set.
	 * @return the bits in Base64
	 */
	@JsonValue
	public String text() {
		return Base64.getEncoder().encodeToString(this.bits.toByteArray());
	}

	/**
	 * Returns a copy of this set with one more chunk.
	 * @param chunk the number of the chunk
	 * @return the larger set
	 */
	public ChunkSet with(int chunk) {
		BitSet copy = (BitSet) this.bits.clone();
		copy.set(chunk);
		return new ChunkSet(copy);
	}

	/**
	 * Returns whether a chunk is in this set.
	 * @param chunk the number of the chunk
	 * @return whether the set contains it
	 */
	public boolean contains(int chunk) {
		return this.bits.get(chunk);
	}

	/**
	 * Returns the number of chunks in this set.
	 * @return the number of chunks
	 */
	public int size() {
		return this.bits.cardinality();
	}

	/**
	 * Returns the lowest chunk number that is not in this set.
	 * @param from the number to start the search from, inclusive
	 * @return the number of the chunk
	 */
	public int firstAbsent(int from) {
		return this.bits.nextClearBit(from);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ChunkSet set && this.bits.equals(set.bits);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.bits);
	}

	@Override
	public String toString() {
		return this.bits.toString();
	}

}
