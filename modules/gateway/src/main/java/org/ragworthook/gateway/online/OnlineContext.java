package org.ragworthook.gateway.online;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.dialect.PromptFormat;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.observe.ObservedSpeeds;
import org.ragworthook.gateway.origin.StreamOriginReports;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.suspect.PoisonPartDetector;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.UnreportedPlacements;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * The components and values that the handling of online requests uses.
 *
 * @param configuration the operator's configuration in force
 * @param upstreams the known upstreams
 * @param placement chooses an upstream for a request
 * @param unreported estimates the requests that other entries have placed since their
 * last reports
 * @param connections the pool of connections to upstreams
 * @param headers the names of headers
 * @param promptFormat the format of the header that states the parts of a prompt
 * @param ticker the monotonic clock
 * @param timers runs tasks later, on the event loop of the connections
 * @param random draws the service of a route by weight
 * @param poisonRequests detects the requests that crash upstreams
 * @param poisonParts detects the parts of prompts that crash upstreams
 * @param metrics counts requests and failed attempts
 * @param dispatch requests slots from the dispatcher while they are scarce
 * @param accounts counts the requests of client accounts
 * @param origins finds the software that began a stream
 * @param speeds the observed speeds of upstreams and the timeouts that follow from them
 * @param loadChanged called when the load of this process at upstreams has changed
 * @param flushLoadReport sends this process's load at upstreams to its peers at once
 * @param stop the planned end of the process
 */
public record OnlineContext(ActiveConfiguration configuration, UpstreamRegistry upstreams, Placement placement,
		UnreportedPlacements unreported, ConnectionPool connections, HeaderNames headers, PromptFormat promptFormat,
		Ticker ticker, Timers timers, RandomGenerator random, PoisonRequestDetector poisonRequests,
		PoisonPartDetector poisonParts, GatewayMetrics metrics, DispatchClient dispatch, AccountLoads accounts,
		StreamOriginReports origins, ObservedSpeeds speeds, Runnable loadChanged, Runnable flushLoadReport,
		StopSchedule stop) {

	/**
	 * Checks that no component is null.
	 */
	public OnlineContext {
		Objects.requireNonNull(configuration, "configuration is null");
		Objects.requireNonNull(upstreams, "upstreams is null");
		Objects.requireNonNull(placement, "placement is null");
		Objects.requireNonNull(unreported, "unreported is null");
		Objects.requireNonNull(connections, "connections is null");
		Objects.requireNonNull(headers, "headers is null");
		Objects.requireNonNull(promptFormat, "promptFormat is null");
		Objects.requireNonNull(ticker, "ticker is null");
		Objects.requireNonNull(timers, "timers is null");
		Objects.requireNonNull(random, "random is null");
		Objects.requireNonNull(poisonRequests, "poisonRequests is null");
		Objects.requireNonNull(poisonParts, "poisonParts is null");
		Objects.requireNonNull(metrics, "metrics is null");
		Objects.requireNonNull(dispatch, "dispatch is null");
		Objects.requireNonNull(accounts, "accounts is null");
		Objects.requireNonNull(origins, "origins is null");
		Objects.requireNonNull(speeds, "speeds is null");
		Objects.requireNonNull(loadChanged, "loadChanged is null");
		Objects.requireNonNull(flushLoadReport, "flushLoadReport is null");
		Objects.requireNonNull(stop, "stop is null");
	}

}
