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
 * The platform that a process runs on, as an adapter provides it.
 */
public interface Platform {

	/**
	 * Returns the names of headers.
	 * @return the names
	 */
	HeaderNames headers();

	/**
	 * Returns the format of the parts of a prompt.
	 * @return the format
	 */
	PromptFormat promptFormat();

	/**
	 * Returns the format of the calls about batch jobs.
	 * @return the format
	 */
	JobFormat jobFormat();

	/**
	 * Returns where the system keeps its own objects.
	 * @return the store
	 */
	RecordStore store();

	/**
	 * Returns what upstreams say of themselves.
	 * @return the feed
	 */
	Feed<UpstreamDescriptor> upstreams();

	/**
	 * Returns what the operator configured.
	 * @return the feed
	 */
	Feed<Configuration> configuration();

	/**
	 * Returns the batch jobs that the system keeps.
	 * @return the feed
	 */
	Feed<Job> jobs();

	/**
	 * Returns how far the items are that processes have saved.
	 * @return the feed
	 */
	Feed<List<ItemProgress>> progress();

	/**
	 * Returns the instances that the operator wants emptied, by name.
	 * @return the feed
	 */
	Feed<Boolean> retirements();

	/**
	 * Reports that an instance is empty and may be taken away.
	 * @param instance its name
	 * @return completes once the platform has the report
	 */
	CompletableFuture<Void> reportRetired(String instance);

	/**
	 * Returns the addresses at which processes take reports.
	 * @return the listing
	 */
	PeerDirectory.AddressLister peerAddresses();

}
