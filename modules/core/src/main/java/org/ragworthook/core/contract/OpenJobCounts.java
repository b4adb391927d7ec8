package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Jobs that were accepted and have not ended, counted by what they need of the text.
 *
 * @param jobsByAccount open jobs by name of their account
 * @param jobsByModel open jobs by the model, adapter or service that they ask for
 */
public record OpenJobCounts(Map<String, Integer> jobsByAccount, Map<String, Integer> jobsByModel) {

	private static final OpenJobCounts NONE = new OpenJobCounts(Map.of(), Map.of());

	/**
	 * Copies the counts.
	 */
	public OpenJobCounts {
		jobsByAccount = Map.copyOf(Objects.requireNonNull(jobsByAccount, "jobsByAccount is null"));
		jobsByModel = Map.copyOf(Objects.requireNonNull(jobsByModel, "jobsByModel is null"));
	}

	/**
	 * Returns no work.
	 * @return the empty counts
	 */
	public static OpenJobCounts none() {
		return NONE;
	}

	/**
	 * Finds the work that could not be finished under a contract. Accepted and then left
	 * without its model, a job would wait for ever; without its account nobody could read
	 * its results.
	 * @param contract the contract that would come into force
	 * @return a warning for each account and model that is missing
	 */
	public List<Problem> strandedBy(Contract contract) {
		List<Problem> stranded = new ArrayList<>();
		this.jobsByAccount.forEach((account, jobs) -> {
			if (contract.accounts().stream().noneMatch((present) -> present.name().equals(account))) {
				stranded.add(warning("account " + account, jobs));
			}
		});
		this.jobsByModel.forEach((model, jobs) -> {
			if (contract.serviceOfModel(model).isEmpty() && contract.service(model).isEmpty()) {
				stranded.add(warning("model " + model, jobs));
			}
		});
		return stranded;
	}

	private static Problem warning(String what, int jobs) {
		return new Problem(Problem.Severity.WARNING, Place.START.line(), Place.START.column(),
				what + " is gone, but " + jobs + " accepted jobs need it",
				"keep it until the jobs have ended, cancel them, or apply with --strand");
	}

}
