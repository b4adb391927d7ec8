package org.ragworthook.gateway.online;

import java.util.Objects;
import java.util.random.RandomGenerator;

import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.dialect.HeaderNames;
import org.ragworthook.gateway.dialect.PromptFormat;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.http.ConnectionPool;
import org.ragworthook.gateway.metrics.GatewayMetrics;
import org.ragworthook.gateway.route.ActiveConfiguration;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.Placement;
import org.ragworthook.gateway.upstream.UnreportedPlacements;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * What the path of a request uses.
 *
 * @param configuration what the operator configured
 * @param upstreams the upstreams that take requests
 * @param placement chooses one of them
 * @param unreported estimates what other entries have placed since they were heard
 * @param connections leads to them
 * @param headers the names of headers
 * @param prompts the format of the parts of a prompt
 * @param ticker the time
 * @param timers runs tasks later, on the event loop of the connections
 * @param random draws for weights and delays
 * @param suspects the requests that make upstreams crash
 * @param metrics counts what happens
 * @param dispatch asks for slots while they are scarce
 * @param loadChanged is told that the loads of this process have changed
 * @param flush tells the peers at once what this process has at upstreams
 */
public record OnlineContext(ActiveConfiguration configuration, UpstreamRegistry upstreams, Placement placement,
		UnreportedPlacements unreported, ConnectionPool connections, HeaderNames headers, PromptFormat prompts,
		Ticker ticker, Timers timers, RandomGenerator random, PoisonRequestDetector suspects, GatewayMetrics metrics,
		DispatchClient dispatch, Runnable loadChanged, Runnable flush) {

	/**
	 * Checks that all parts are there.
	 */
	public OnlineContext {
		Objects.requireNonNull(configuration, "configuration is null");
		Objects.requireNonNull(upstreams, "upstreams is null");
		Objects.requireNonNull(placement, "placement is null");
		Objects.requireNonNull(unreported, "unreported is null");
		Objects.requireNonNull(connections, "connections is null");
		Objects.requireNonNull(headers, "headers is null");
		Objects.requireNonNull(prompts, "prompts is null");
		Objects.requireNonNull(ticker, "ticker is null");
		Objects.requireNonNull(timers, "timers is null");
		Objects.requireNonNull(random, "random is null");
		Objects.requireNonNull(suspects, "suspects is null");
		Objects.requireNonNull(metrics, "metrics is null");
		Objects.requireNonNull(dispatch, "dispatch is null");
		Objects.requireNonNull(loadChanged, "loadChanged is null");
		Objects.requireNonNull(flush, "flush is null");
	}

}
