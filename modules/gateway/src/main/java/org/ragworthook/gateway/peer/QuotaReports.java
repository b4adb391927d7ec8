package org.ragworthook.gateway.peer;

import java.util.Objects;

import org.ragworthook.gateway.account.QuotaLedger;
import org.ragworthook.wire.load.AccountUsage;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports about how much of the accounts' quotas each process has
 * used. Used on the event loop.
 */
public final class QuotaReports implements ReportSection {

	/** Accounts in one report at most; the others wait until fewer were used recently. */
	private static final int MAX_ACCOUNTS = 200;

	private final QuotaLedger ledger;

	QuotaReports(QuotaLedger ledger) {
		this.ledger = Objects.requireNonNull(ledger, "ledger is null");
	}

	/**
	 * Adds this section to the reports of a process.
	 * @param exchange the exchange that sends and receives the reports
	 * @param ledger the usage by this process, which receives that by its peers
	 */
	public static void attach(LoadExchange exchange, QuotaLedger ledger) {
		exchange.add(new QuotaReports(ledger));
		ledger.onReportDue(exchange::flush);
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
