package org.ragworthook.core.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The numbers of open jobs (accepted and not ended) that depend on each account and
 * model.
 *
 * @param jobsByAccount the number of open jobs by account name
 * @param jobsByModel the number of open jobs by the model, adapter or service that they
 * request
 */
public record OpenJobCounts(Map<String, Integer> jobsByAccount, Map<String, Integer> jobsByModel) {

	private static final OpenJobCounts NONE = new OpenJobCounts(Map.of(), Map.of());

	/**
	 * Copies the maps.
	 */
	public OpenJobCounts {
		jobsByAccount = Map.copyOf(Objects.requireNonNull(jobsByAccount, "jobsByAccount is null"));
		jobsByModel = Map.copyOf(Objects.requireNonNull(jobsByModel, "jobsByModel is null"));
	}

	/**
	 * Returns counts without any open job.
	 * @return the empty counts
	 */
	public static OpenJobCounts none() {
		return NONE;
	}

	/**
	 * Returns warnings for the jobs that could not be completed under a contract. A job
	 * whose model is removed would wait forever; the results of a job whose account is
	 * removed could not be read.
	 * @param contract the contract that would become active
	 * @return one warning for each missing account or model that open jobs need
	 */
	public List<Problem> strandedBy(Contract contract) {
		List<Problem> stranded = new ArrayList<>();
		this.jobsByAccount.forEach((account, jobs) -> {
			if (contract.accounts().stream().noneMatch((configured) -> configured.name().equals(account))) {
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

	private static Problem warning(String user, int jobs) {
		return new Problem(Problem.Severity.WARNING, SourcePosition.START.line(), SourcePosition.START.column(),
				user + " is gone, but " + jobs + " accepted jobs need it",
				"keep it until the jobs have ended, cancel them, or apply with --strand");
	}

}
