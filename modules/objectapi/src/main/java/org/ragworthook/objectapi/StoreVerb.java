package org.ragworthook.objectapi;

/**
 * The kinds of call to the object API, as the platform counts them.
 */
public enum StoreVerb {

	/** Reads one object. */
	READ,

	/** Lists a collection. */
	LIST,

	/** Watches a collection; a waiting watch counts as one call. */
	WATCH,

	/** Creates an object. */
	CREATE,

	/** Replaces an object. */
	UPDATE,

	/** Removes an object. */
	DELETE;

	/**
	 * Tells whether a call of this kind changes the platform's state.
	 * @return whether it is a write
	 */
	public boolean write() {
		return this == CREATE || this == UPDATE || this == DELETE;
	}

}
