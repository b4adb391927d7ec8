package org.ragworthook.gateway.peer;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.ragworthook.gateway.job.JobOwners;
import org.ragworthook.gateway.upstream.RendezvousHash;

/**
 * Assigns each job to one of the processes that run jobs by rendezvous hashing, so that a
 * process that joins or leaves moves no jobs but its own.
 */
public final class RendezvousOwners implements JobOwners {

	private final String self;

	private final Supplier<List<String>> candidates;

	private RendezvousOwners(String self, Supplier<List<String>> candidates) {
		this.self = Objects.requireNonNull(self, "self is null");
		this.candidates = Objects.requireNonNull(candidates, "candidates is null");
	}

	/**
	 * Returns the assignment of jobs to the processes that may own them.
	 * @param self the name of this process
	 * @param candidates returns the names of the processes that may own jobs
	 * @return the assignment
	 */
	public static RendezvousOwners of(String self, Supplier<List<String>> candidates) {
		return new RendezvousOwners(self, candidates);
	}

	@Override
	public boolean ownedHere(String jobId) {
		return RendezvousHash.owner(this.candidates.get(), jobId.hashCode()).filter(this.self::equals).isPresent();
	}

	@Override
	public int runnerCount() {
		return this.candidates.get().size();
	}

}
