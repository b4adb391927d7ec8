package org.ragworthook.gateway.process;

import java.util.Objects;

import io.netty.channel.EventLoop;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.dispatch.DispatchReports;
import org.ragworthook.gateway.peer.FleetView;
import org.ragworthook.gateway.peer.JobChangeReports;
import org.ragworthook.gateway.peer.ListingReports;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.PeerIdentity;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * What a process tells its peers and hears from them, all of it in load reports.
 *
 * @param loads what processes have at upstreams
 * @param dispatch questions for slots and their answers
 * @param slots asks for slots
 * @param listings results that are listed
 * @param changedJobs jobs that were accepted or ended
 * @param pauses tells whether what was heard can be trusted
 */
record PeerLinks(LoadExchange loads, DispatchReports dispatch, DispatchClient slots, ListingReports listings,
		JobChangeReports changedJobs, PauseWatch pauses) implements AutoCloseable {

	PeerLinks {
		Objects.requireNonNull(loads, "loads is null");
		Objects.requireNonNull(dispatch, "dispatch is null");
		Objects.requireNonNull(slots, "slots is null");
		Objects.requireNonNull(listings, "listings is null");
		Objects.requireNonNull(changedJobs, "changedJobs is null");
		Objects.requireNonNull(pauses, "pauses is null");
	}

	/**
	 * Begins to tell and to hear.
	 * @param self how this process shows itself
	 * @param failureDomain its failure domain
	 * @param upstreams the upstreams whose loads are told
	 * @param suspects the requests that make upstreams crash
	 * @param loop the event loop
	 * @param ticker the time
	 * @param timers runs tasks later, on the event loop
	 * @return the links
	 */
	static PeerLinks start(PeerIdentity self, String failureDomain, UpstreamRegistry upstreams,
			PoisonRequestDetector suspects, EventLoop loop, Ticker ticker, Timers timers) {
		LoadExchange loads = LoadExchange.start(loop, ticker, upstreams, suspects, self);
		DispatchReports dispatch = DispatchReports.attach(loads, loop, ticker, self.instance(), failureDomain);
		DispatchClient slots = DispatchClient.of(ticker, timers, dispatch);
		dispatch.client(slots);
		PauseWatch pauses = PauseWatch.start(ticker, timers);
		return new PeerLinks(loads, dispatch, slots, ListingReports.register(loads, pauses::steady),
				JobChangeReports.register(loads, ticker), pauses);
	}

	/**
	 * Returns which processes there are, as far as this one hears.
	 * @return the view
	 */
	FleetView fleet() {
		return this.loads.fleet();
	}

	@Override
	public void close() {
		this.loads.close();
	}

}
