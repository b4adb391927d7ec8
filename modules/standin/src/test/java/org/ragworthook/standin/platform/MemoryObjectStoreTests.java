package org.ragworthook.standin.platform;

import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectStore;

/**
 * Tests for {@link MemoryObjectStore}.
 */
class MemoryObjectStoreTests extends ObjectStoreTests {

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	@Override
	ObjectStore store() {
		return this.store;
	}

	@Override
	void endWatches() {
		this.store.endWatches();
	}

}
