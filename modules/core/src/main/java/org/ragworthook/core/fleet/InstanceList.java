package org.ragworthook.core.fleet;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of instances. The list is eventually consistent: it may still
 * contain an instance that has stopped and may not yet contain one that has started.
 */
@FunctionalInterface
public interface InstanceList {

	/**
	 * Reads the list.
	 * @return all listed instances, including those that are shutting down
	 */
	CompletableFuture<List<Instance>> instances();

}
