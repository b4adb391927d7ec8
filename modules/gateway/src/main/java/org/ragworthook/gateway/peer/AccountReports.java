package org.ragworthook.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.ragworthook.gateway.account.AccountCounts;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.wire.load.AccountLoad;
import org.ragworthook.wire.load.LoadReport;

/**
 * The section of load reports about the requests and items of client accounts. Empty
 * while the configuration has no accounts. Used on the event loop.
 */
public final class AccountReports implements ReportSection {

	private final AccountLoads loads;

	private boolean lastHadCounts;

	AccountReports(AccountLoads loads) {
		this.loads = Objects.requireNonNull(loads, "loads is null");
	}

	/**
	 * Adds this section to the reports of a process. It has to be added before the
	 * section with grants, which are counted until the loads include them.
	 * @param exchange the exchange that sends and receives the reports
	 * @param loads the requests and items of this process, which receive those of its
	 * peers
	 */
	public static void attach(LoadExchange exchange, AccountLoads loads) {
		exchange.add(new AccountReports(loads));
	}

	/**
	 * Returns whether there is any request or item of an account, or was any in the last
	 * report. Peers count a report for a few intervals only, so it is sent at each
	 * interval although it is unchanged.
	 * @return whether a report has to be sent
	 */
	@Override
	public boolean hasChanges() {
		return this.loads.active() && (this.lastHadCounts || !this.loads.ownCounts().isEmpty());
	}

	@Override
	public void write(LoadReport.Builder report) {
		if (!this.loads.active()) {
			return;
		}
		List<Map.Entry<Integer, AccountCounts>> all = this.loads.ownCountsLargestFirst();
		this.lastHadCounts = !all.isEmpty();
		AccountCounts others = AccountCounts.NONE;
		for (int i = 0; i < all.size(); i++) {
			if (i < AccountLoads.MAX_REPORTED) {
				report.addAccountLoads(load(all.get(i).getKey(), all.get(i).getValue()));
			}
			else {
				others = others.plus(all.get(i).getValue());
			}
		}
		if (!others.equals(AccountCounts.NONE)) {
			report.setOtherAccounts(load(0, others));
		}
	}

	private static AccountLoad load(int tag, AccountCounts counts) {
		return AccountLoad.newBuilder()
			.setAccount(tag)
			.setOnline(counts.online())
			.setBatch(counts.batch())
			.setWaiting(counts.waiting())
			.build();
	}

	/**
	 * {@inheritDoc} The sum of the accounts that a report does not name belongs to no
	 * account and is not counted.
	 */
	@Override
	public void read(LoadReport report) {
		if (!this.loads.active()) {
			return;
		}
		Map<Integer, AccountCounts> counts = new HashMap<>();
		for (AccountLoad load : report.getAccountLoadsList()) {
			counts.merge(load.getAccount(), new AccountCounts(load.getOnline(), load.getBatch(), load.getWaiting()),
					AccountCounts::plus);
		}
		this.loads.applyPeerReport(report.getInstance(), report.getStartedMillis(), report.getSequence(), counts);
	}

}
