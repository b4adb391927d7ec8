package org.ragworthook.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import org.ragworthook.core.contract.Account;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.OpenJobCounts;
import org.ragworthook.core.job.JobRecord;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Listing;
import org.ragworthook.core.store.ObjectStore;

/**
 * Counts the accepted jobs that have not ended, when a text would take away an account or
 * a model. Most changes take nothing away; listing every job for them would cost the
 * platform megabytes a change.
 */
final class OpenJobs {

	private final ObjectStore store;

	OpenJobs(ObjectStore store) {
		this.store = Objects.requireNonNull(store, "store is null");
	}

	CompletableFuture<OpenJobCounts> concernedBy(Optional<Contract> before, Optional<Contract> after) {
		if (before.isEmpty() || after.isEmpty() || !takesAway(before.get(), after.get())) {
			return CompletableFuture.completedFuture(OpenJobCounts.none());
		}
		return this.store.list(Kind.JOB, Labels.of(JobRecord.STATE, JobRecord.OPEN)).thenApply(OpenJobs::count);
	}

	private static boolean takesAway(Contract before, Contract after) {
		return !accounts(after).containsAll(accounts(before)) || before.services()
			.stream()
			.flatMap((service) -> service.models().stream())
			.anyMatch((model) -> after.serviceOfModel(model.name()).isEmpty()
					|| model.adapters().stream().anyMatch((adapter) -> after.serviceOfModel(adapter).isEmpty()));
	}

	private static Set<String> accounts(Contract contract) {
		return contract.accounts().stream().map(Account::name).collect(Collectors.toSet());
	}

	private static OpenJobCounts count(Listing listing) {
		Map<String, Integer> byAccount = new HashMap<>();
		Map<String, Integer> byModel = new HashMap<>();
		listing.objects().forEach((stored) -> {
			JobRecord job = JobRecord.parse(stored.text());
			byAccount.merge(job.account(), 1, Integer::sum);
			job.models().forEach((model) -> byModel.merge(model, 1, Integer::sum));
		});
		return new OpenJobCounts(byAccount, byModel);
	}

}
