package org.ragworthook.core.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of instances. It lags: an instance that is gone may still be in it,
 * and one that has come may not be in it yet.
 */
@FunctionalInterface
public interface InstanceList {

	/**
	 * Reads the list.
	 * @return all instances, live and leaving
	 */
	CompletableFuture<List<Instance>> instances();

}
