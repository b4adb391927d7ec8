package org.ragworthook.core.job;

import java.util.Base64;
import java.util.BitSet;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A set of numbers of chunks, small enough for a job's record: a bit for each chunk.
 */
public final class ChunkSet {

	/** The set without chunks. */
	public static final ChunkSet EMPTY = new ChunkSet(new BitSet());

	private final BitSet bits;

	private ChunkSet(BitSet bits) {
		this.bits = bits;
	}

	/**
	 * Reads a set from a record.
	 * @param text as {@link #text()} returns it
	 * @return the set
	 */
	@JsonCreator
	public static ChunkSet parse(String text) {
		return new ChunkSet(BitSet.valueOf(Base64.getDecoder().decode(text)));
	}

	/**
	 * Returns the set as kept in a record.
	 * @return the bits in Base64
	 */
	@JsonValue
	public String text() {
		return Base64.getEncoder().encodeToString(this.bits.toByteArray());
	}

	/**
	 * Returns this set and one more chunk.
	 * @param chunk the chunk's number
	 * @return the larger set
	 */
	public ChunkSet with(int chunk) {
		BitSet copy = (BitSet) this.bits.clone();
		copy.set(chunk);
		return new ChunkSet(copy);
	}

	/**
	 * Tells whether a chunk is in the set.
	 * @param chunk the chunk's number
	 * @return whether it is
	 */
	public boolean contains(int chunk) {
		return this.bits.get(chunk);
	}

	/**
	 * Returns how many chunks are in the set.
	 * @return the count
	 */
	public int size() {
		return this.bits.cardinality();
	}

	/**
	 * Returns the first chunk that is not in the set.
	 * @param from where to start to look
	 * @return the chunk's number
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
