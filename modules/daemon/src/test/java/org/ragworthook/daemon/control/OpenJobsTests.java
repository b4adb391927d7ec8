package org.ragworthook.daemon.control;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.contract.OpenJobCounts;
import org.ragworthook.core.contract.Problem;
import org.ragworthook.core.job.JobRecord;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;

import static com.google.common.truth.Truth.assertThat;

class OpenJobsTests {

	private final MemoryObjectStore store = MemoryObjectStore.empty();

	private final OpenJobs jobs = new OpenJobs(this.store);

	private static Contract contract(String account, String model) {
		return Contract.parse(1, """
				{"name": "t", "regions": [{"name": "r", "failureDomains": ["a"]}],
				 "services": [{"name": "desk", "failureDomains": ["a"],
				 "models": [{"name": "%s", "version": "1", "replicas": {"min": 1, "max": 1}}]}],
				 "accounts": [{"name": "%s", "keys": ["%s"]}]}
				""".formatted(model, account, KeyHash.of("k").text()));
	}

	private void job(String name, String account, String model, String state) {
		String text = "{\"hex\": \"%s\", \"account\": \"%s\", \"models\": [\"%s\"], \"status\": \"IN_PROGRESS\"}"
			.formatted(name, account, model);
		this.store.create(ObjectKey.of(Kind.JOB, name), new Draft(text, Labels.of(JobRecord.STATE, state), name))
			.join();
	}

	private OpenJobCounts concernedBy(Contract after) {
		return this.jobs.concernedBy(Optional.of(contract("office", "m")), Optional.of(after)).join();
	}

	// The office's bundle was accepted in the evening, and somebody renames the account
	// at
	// night. In the morning nobody could read the results.
	@Test
	void shouldFindTheJobsThatAChangeWouldStrand() {
		job("a1", "office", "m", JobRecord.OPEN);
		job("a2", "office", "m", JobRecord.ENDED);
		Contract renamed = contract("shop", "m");
		assertThat(concernedBy(renamed).strandedBy(renamed).stream().map(Problem::message).toList())
			.containsExactly("account office is gone, but 1 accepted jobs need it");
		Contract replaced = contract("office", "n");
		assertThat(concernedBy(replaced).strandedBy(replaced)).hasSize(1);
	}

	@Test
	void shouldNotListJobsForAChangeThatTakesNothingAway() {
		job("a1", "office", "m", JobRecord.OPEN);
		assertThat(concernedBy(contract("office", "m"))).isEqualTo(OpenJobCounts.none());
	}

}
