package org.ragworthook.gateway.peer;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.ragworthook.gateway.job.JobOwners;
import org.ragworthook.gateway.upstream.RendezvousHash;

/**
 * Gives each job to one of the processes that run jobs, by rendezvous hashing: when one
 * comes or goes, only its own jobs move.
 */
public final class RendezvousOwners implements JobOwners {

	private final String self;

	private final Supplier<List<String>> runners;

	private RendezvousOwners(String self, Supplier<List<String>> runners) {
		this.self = Objects.requireNonNull(self, "self is null");
		this.runners = Objects.requireNonNull(runners, "runners is null");
	}

	/**
	 * Returns the owners.
	 * @param self the name of this process
	 * @param runners the names of the processes that run jobs
	 * @return the owners
	 */
	public static RendezvousOwners of(String self, Supplier<List<String>> runners) {
		return new RendezvousOwners(self, runners);
	}

	@Override
	public boolean ownedHere(String jobId) {
		return RendezvousHash.owner(this.runners.get(), jobId.hashCode()).filter(this.self::equals).isPresent();
	}

	@Override
	public int runnerCount() {
		return this.runners.get().size();
	}

}
