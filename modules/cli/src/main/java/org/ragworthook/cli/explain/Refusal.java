package org.ragworthook.cli.explain;

import java.util.Optional;

/**
 * Explains in a sentence why a dispatcher refused a request.
 */
final class Refusal {

	private Refusal() {
	}

	/**
	 * Explains the last refusal of a request.
	 * @param story the decisions about the request
	 * @return the explanation, or empty if no dispatcher refused the request
	 */
	static Optional<String> of(RequestStory story) {
		return story.last("request_shed")
			.map(Refusal::explained)
			.or(() -> story.last("slot_refused").map(Refusal::withoutReason));
	}

	private static String explained(LogLine shed) {
		return String.format(
				"account %s used %s slots and its fair share was %s; %s requests waited, %s slots/s became free, "
						+ "so it would have started in %s ms and had to start in %s ms; may come back after %s ms; "
						+ "decided by %s from reports up to %s ms old",
				shed.value("account"), shed.value("used"), shed.value("share"), shed.value("waiting"),
				shed.value("freed_per_s"), shed.value("start_in_ms"), shed.value("goal_in_ms"),
				shed.value("retry_after_ms"), shed.process(), shed.value("oldest_report_ms"));
	}

	private static String withoutReason(LogLine refused) {
		return "refused by the dispatcher " + refused.value("dispatcher")
				+ ", whose log has the reason; may come back after " + refused.value("retry_after_ms") + " ms";
	}

}
