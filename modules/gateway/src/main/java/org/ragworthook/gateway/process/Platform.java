package org.ragworthook.gateway.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.ragworthook.core.store.RecordStore;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.dialect.JobFormat;
import org.ragworthook.gateway.dialect.PromptFormat;
import org.ragworthook.gateway.feed.Feed;
import org.ragworthook.gateway.job.ItemProgress;
import org.ragworthook.gateway.job.Job;
import org.ragworthook.gateway.peer.PeerDirectory;
import org.ragworthook.gateway.route.Configuration;
import org.ragworthook.gateway.upstream.UpstreamDescriptor;

/**
 * The platform that a process runs on. An adapter implements this interface: it reads and
 * writes the platform's objects and supplies the formats of its protocols.
 */
public interface Platform {

	/**
	 * Returns the names of the HTTP headers that callers and upstreams use.
	 * @return the header names
	 */
	HeaderNames headers();

	/**
	 * Returns the format in which a request states the parts of its prompt.
	 * @return the format
	 */
	PromptFormat promptFormat();

	/**
	 * Returns the format of the requests and responses of the batch job API.
	 * @return the format
	 */
	JobFormat jobFormat();

	/**
	 * Returns the store for the objects of this system.
	 * @return the store
	 */
	RecordStore store();

	/**
	 * Returns the feed of the upstreams' registrations.
	 * @return the feed
	 */
	Feed<UpstreamDescriptor> upstreams();

	/**
	 * Returns the feed of the operator's configuration.
	 * @return the feed
	 */
	Feed<Configuration> configuration();

	/**
	 * Returns the feed of the batch jobs in the store.
	 * @return the feed
	 */
	Feed<Job> jobs();

	/**
	 * Returns the feed of the progress of items that processes have saved.
	 * @return the feed
	 */
	Feed<List<ItemProgress>> progress();

	/**
	 * Returns the feed of the instances that the operator retires. An entry is named
	 * after the instance and has a value while it is to be retired.
	 * @return the feed
	 */
	Feed<Boolean> retirements();

	/**
	 * Reports that an instance has no work left and can be removed.
	 * @param instance the name of the instance
	 * @return a future that completes once the platform has accepted the report
	 */
	CompletableFuture<Void> reportRetired(String instance);

	/**
	 * Returns the lister of the addresses at which processes receive reports.
	 * @return the lister
	 */
	PeerDirectory.AddressLister peerAddresses();

}
