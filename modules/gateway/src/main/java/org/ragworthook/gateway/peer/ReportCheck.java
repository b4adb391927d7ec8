package org.ragworthook.gateway.peer;

import java.util.Optional;
import java.util.stream.IntStream;

import io.netty.util.NetUtil;
import org.ragworthook.wire.load.LoadReport;

/**
 * Checks received reports for values that no process sends. Their senders are not known,
 * and a report is kept and counted until a newer one arrives.
 */
final class ReportCheck {

	/**
	 * Longer than any instance's name. Names of processes that run jobs are repeated in
	 * the reports of all peers, which are not sent if they exceed a datagram.
	 */
	static final int MAX_NAME_CHARS = 253;

	/** Far more requests than a process runs; sums over all processes fit into an int. */
	static final int MAX_COUNT = 1_000_000;

	private static final int MAX_PORT = 65_535;

	private ReportCheck() {
	}

	/**
	 * Returns why a report cannot be used.
	 * @param report the report
	 * @return the reason, or empty if it can be used
	 */
	static Optional<String> problem(LoadReport report) {
		if (report.getInstance().length() > MAX_NAME_CHARS) {
			return Optional.of("the name of the instance is too long");
		}
		if (!isLiteral(report.getHost()) || report.getPort() < 1 || report.getPort() > MAX_PORT) {
			return Optional.of("the address is not an IP address with a port from 1 to " + MAX_PORT);
		}
		boolean loadsInRange = report.getLoadsList()
			.stream()
			.flatMapToInt((load) -> IntStream.of(load.getOnline(), load.getBatch()))
			.allMatch(ReportCheck::inRange);
		boolean accountsInRange = report.getAccountLoadsList()
			.stream()
			.flatMapToInt((load) -> IntStream.of(load.getOnline(), load.getBatch(), load.getWaiting()))
			.allMatch(ReportCheck::inRange);
		return (loadsInRange && accountsInRange) ? Optional.empty() : Optional.of("a count is out of range");
	}

	/**
	 * Returns whether a host is an IP address. A name would be resolved on the event
	 * loop, which stands still meanwhile.
	 * @param host the host
	 * @return whether it is an IP address without a scope
	 */
	private static boolean isLiteral(String host) {
		return NetUtil.isValidIpV4Address(host) || (NetUtil.isValidIpV6Address(host) && host.indexOf('%') < 0);
	}

	private static boolean inRange(int count) {
		return count >= 0 && count <= MAX_COUNT;
	}

}
