package org.ragworthook.gateway.process;

import java.util.Objects;

import io.netty.channel.EventLoop;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.core.time.Timers;
import org.ragworthook.gateway.account.AccountLoads;
import org.ragworthook.gateway.dispatch.DispatchClient;
import org.ragworthook.gateway.dispatch.DispatchReports;
import org.ragworthook.gateway.origin.StreamOriginReports;
import org.ragworthook.gateway.peer.AccountReports;
import org.ragworthook.gateway.peer.FleetView;
import org.ragworthook.gateway.peer.JobChangeReports;
import org.ragworthook.gateway.peer.LoadExchange;
import org.ragworthook.gateway.peer.PeerIdentity;
import org.ragworthook.gateway.peer.ResultReports;
import org.ragworthook.gateway.suspect.PoisonRequestDetector;
import org.ragworthook.gateway.upstream.UpstreamRegistry;

/**
 * The exchange of load reports with the peers and the sections of these reports.
 *
 * @param exchange sends and receives the reports
 * @param dispatch the section with requests for slots and the answers to them
 * @param dispatchClient requests slots for online requests of this process
 * @param results the section with published results
 * @param jobChanges the section with jobs that were accepted or ended
 * @param origins the section with the origins of streams
 * @param pauseDetector detects pauses, after which received reports cannot be trusted
 */
record PeerReports(LoadExchange exchange, DispatchReports dispatch, DispatchClient dispatchClient,
		ResultReports results, JobChangeReports jobChanges, StreamOriginReports origins,
		PauseDetector pauseDetector) implements AutoCloseable {

	PeerReports {
		Objects.requireNonNull(exchange, "exchange is null");
		Objects.requireNonNull(dispatch, "dispatch is null");
		Objects.requireNonNull(dispatchClient, "dispatchClient is null");
		Objects.requireNonNull(results, "results is null");
		Objects.requireNonNull(jobChanges, "jobChanges is null");
		Objects.requireNonNull(origins, "origins is null");
		Objects.requireNonNull(pauseDetector, "pauseDetector is null");
	}

	/**
	 * Begins to send and receive reports.
	 * @param self the identity of this process
	 * @param failureDomain the failure domain of this process
	 * @param upstreams the upstreams whose loads are reported
	 * @param suspects the requests during which upstreams broke off
	 * @param accounts the requests of client accounts, which are reported
	 * @param loop the event loop
	 * @param ticker the monotonic clock
	 * @param timers schedules tasks on the event loop
	 * @return the exchange and its sections
	 */
	static PeerReports start(PeerIdentity self, String failureDomain, UpstreamRegistry upstreams,
			PoisonRequestDetector suspects, AccountLoads accounts, EventLoop loop, Ticker ticker, Timers timers) {
		LoadExchange exchange = LoadExchange.start(loop, ticker, upstreams, suspects, self);
		AccountReports.attach(exchange, accounts);
		DispatchReports dispatch = DispatchReports.attach(exchange, loop, ticker, self.instance(), failureDomain);
		DispatchClient dispatchClient = DispatchClient.of(ticker, timers, dispatch);
		dispatch.client(dispatchClient);
		PauseDetector pauseDetector = PauseDetector.start(ticker, timers);
		return new PeerReports(exchange, dispatch, dispatchClient,
				ResultReports.attach(exchange, pauseDetector::stable), JobChangeReports.attach(exchange, ticker),
				StreamOriginReports.attach(exchange, ticker, timers), pauseDetector);
	}

	/**
	 * Returns the view of all processes of the fleet.
	 * @return the view, which changes as reports arrive
	 */
	FleetView fleet() {
		return this.exchange.fleet();
	}

	@Override
	public void close() {
		this.exchange.close();
	}

}
