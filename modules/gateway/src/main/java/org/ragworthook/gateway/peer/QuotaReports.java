package org.ragworthook.gateway.peer;

import java.util.Objects;

import org.ragworthook.gateway.account.QuotaLedger;
import org.ragworthook.wire.load.AccountUsage;
import org.ragworthook.wire.load.LoadReport;

/**
 * Tells the peers how much of the accounts' quotas this process has used, and takes what
 * they tell. Used on the event loop.
 */
public final class QuotaReports implements ReportPart {

	/** Accounts in one report at most; of more, the next report tells. */
	private static final int MAX_ACCOUNTS = 200;

	private final QuotaLedger ledger;

	QuotaReports(QuotaLedger ledger) {
		this.ledger = Objects.requireNonNull(ledger, "ledger is null");
	}

	/**
	 * Adds the usage of quotas to the reports of a process.
	 * @param loads its reports
	 * @param ledger the usage
	 */
	public static void on(LoadExchange loads, QuotaLedger ledger) {
		loads.add(new QuotaReports(ledger));
		ledger.onReportDue(loads::flush);
	}

	@Override
	public boolean hasChanges() {
		return !this.ledger.recentUsage().isEmpty();
	}

	@Override
	public void write(LoadReport.Builder report) {
		this.ledger.recentUsage()
			.stream()
			.limit(MAX_ACCOUNTS)
			.map((usage) -> AccountUsage.newBuilder()
				.setAccount(usage.tag())
				.setSent(usage.sent())
				.setLevel(usage.remaining()))
			.forEach(report::addAccountUsages);
	}

	@Override
	public void read(LoadReport report) {
		for (AccountUsage usage : report.getAccountUsagesList()) {
			this.ledger.applyPeerUsage(report.getInstance(), report.getStartedMillis(),
					new QuotaLedger.Usage(usage.getAccount(), usage.getSent(), usage.getLevel()));
		}
	}

}
