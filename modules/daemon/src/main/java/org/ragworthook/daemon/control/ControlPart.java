package org.ragworthook.daemon.control;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import io.vertx.ext.web.Router;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.ContractRepository;
import org.ragworthook.core.reconcile.UpstreamUsage;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.http.ErrorResponses;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.daemon.settings.DaemonSettings;
import org.ragworthook.wire.message.PeerState;
import org.ragworthook.wire.message.ProcessVersion;

/**
 * What an entry does for the contract: takes operators' calls, passes slices on to
 * sidecars, and keeps up with its peers.
 */
public final class ControlPart implements AutoCloseable {

	private final DaemonSettings settings;

	private final String instance;

	private final ActiveContract inForce;

	private final ControlLane lane;

	private final PeerContract peerContract;

	private final FleetReconciler reconciler;

	private final AdminRoutes admin;

	private ControlPart(Builder builder) {
		this.settings = builder.settings;
		this.instance = builder.instance;
		this.inForce = builder.inForce;
		this.lane = new ControlLane(builder.inForce);
		this.peerContract = new PeerContract(builder.peers, builder.inForce, builder.timers, builder.work,
				() -> PeerState.newBuilder()
					.setInstance(builder.instance)
					.setContractVersion(builder.inForce.version())
					.build());
		this.reconciler = new FleetReconciler(builder.inForce, builder.store, builder.peers, builder.instance,
				builder.timers, builder.work);
		this.lane.listen(this.reconciler);
		ContractRepository register = ContractRepository.of(builder.store,
				ConditionalWriter.of(builder.store, Stamps.of(builder.instance + "/control")), InstantSource.system());
		this.admin = new AdminRoutes(new Parts(register, builder.inForce,
				new OperatorAccess(builder.inForce, builder.settings.operatorKeys()),
				new FleetStatus(builder.peers, this::processes, this.reconciler::failures),
				new Drains(this.lane, builder.peers, builder.instance, builder.drain), new OpenJobs(builder.store),
				builder.errors), builder.work);
	}

	/**
	 * Starts to put the part together.
	 * @param settings the entry's settings
	 * @param instance the entry's name in this run
	 * @param inForce the contract in force here
	 * @return a builder whose other parts are all to be set
	 */
	public static Builder builder(DaemonSettings settings, String instance, ActiveContract inForce) {
		return new Builder(settings, instance, inForce);
	}

	/**
	 * Returns the listener of the control links to sidecars.
	 * @return the lane
	 */
	public ControlLane lane() {
		return this.lane;
	}

	/**
	 * Adds the operators' interface.
	 * @param router where to add it
	 */
	public void mount(Router router) {
		this.admin.mount(router);
	}

	/**
	 * Starts to tell peers of this entry's version and to keep the fleet to the text,
	 * once the peer links are started.
	 * @param usage how much of each upstream is used, by the sidecar's instance
	 */
	public void start(Supplier<Map<String, UpstreamUsage>> usage) {
		this.peerContract.start();
		this.reconciler.start(usage);
	}

	private List<ProcessVersion> processes() {
		List<ProcessVersion> processes = new ArrayList<>(this.lane.processes());
		processes.add(ProcessVersion.newBuilder()
			.setInstance(this.instance)
			.setRole("entry")
			.setFailureDomain(this.settings.failureDomain().name())
			.setVersion(this.inForce.version())
			.build());
		return processes;
	}

	@Override
	public void close() {
		this.peerContract.close();
		this.reconciler.close();
	}

	/**
	 * What the operators' interface works with.
	 *
	 * @param register accepts texts
	 * @param inForce the contract in force here
	 * @param access finds the operator behind a call
	 * @param status asks which process acts by which version
	 * @param drains drains instances
	 * @param openJobs counts accepted jobs that have not ended
	 * @param errors writes errors
	 */
	record Parts(ContractRepository register, ActiveContract inForce, OperatorAccess access, FleetStatus status,
			Drains drains, OpenJobs openJobs, ErrorResponses errors) {
	}

	/**
	 * Collects what the part needs.
	 */
	public static final class Builder {

		private final DaemonSettings settings;

		private final String instance;

		private final ActiveContract inForce;

		private ObjectStore store;

		private PeerLinks peers;

		private Timers timers;

		private Executor work;

		private ErrorResponses errors;

		private Runnable drain = () -> {
		};

		private Builder(DaemonSettings settings, String instance, ActiveContract inForce) {
			this.settings = Objects.requireNonNull(settings, "settings is null");
			this.instance = Objects.requireNonNull(instance, "instance is null");
			this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		}

		/**
		 * Sets where texts are kept.
		 * @param value the platform
		 * @return this builder
		 */
		public Builder store(ObjectStore value) {
			this.store = value;
			return this;
		}

		/**
		 * Sets the links to other entries, which are not started yet.
		 * @param value the links
		 * @return this builder
		 */
		public Builder peers(PeerLinks value) {
			this.peers = value;
			return this;
		}

		/**
		 * Sets what delays tasks, and what runs those that take milliseconds.
		 * @param delays the timers
		 * @param longTasks runs texts' parsing, away from event loops
		 * @return this builder
		 */
		public Builder time(Timers delays, Executor longTasks) {
			this.timers = delays;
			this.work = longTasks;
			return this;
		}

		/**
		 * Sets what writes errors.
		 * @param value the errors
		 * @return this builder
		 */
		public Builder errors(ErrorResponses value) {
			this.errors = value;
			return this;
		}

		/**
		 * Sets what drains this entry.
		 * @param value has this entry finish its work and take no more
		 * @return this builder
		 */
		public Builder drain(Runnable value) {
			this.drain = value;
			return this;
		}

		/**
		 * Puts the part together.
		 * @return the part; {@link ControlPart#start} is still to be called
		 */
		public ControlPart build() {
			return new ControlPart(this);
		}

	}

}
