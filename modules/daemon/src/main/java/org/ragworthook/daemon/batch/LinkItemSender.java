package org.ragworthook.daemon.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Service;
import org.ragworthook.core.job.BatchItem;
import org.ragworthook.core.job.ItemOutcome;
import org.ragworthook.core.job.ItemRequest;
import org.ragworthook.core.job.ItemSender;
import org.ragworthook.core.job.JobId;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.daemon.entry.RequestReader;
import org.ragworthook.daemon.entry.Sidecar;
import org.ragworthook.daemon.entry.UpstreamDirectory;
import org.ragworthook.wire.message.Cancel;
import org.ragworthook.wire.message.FenceItems;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Item;
import org.ragworthook.wire.message.Lane;
import org.ragworthook.wire.message.Run;

/**
 * Sends items to the sidecars that this entry is linked to, over their batch lanes.
 */
final class LinkItemSender implements ItemSender {

	private static final String SERVICES = "/services/";

	private final UpstreamDirectory directory;

	private final Supplier<Optional<Contract>> contract;

	private final BatchThread thread;

	private final InstantSource clock;

	private final Ticker ticker;

	private final Map<Sidecar, SidecarRoom> rooms = new ConcurrentHashMap<>();

	private final Map<String, ItemExchange> running = new ConcurrentHashMap<>();

	LinkItemSender(UpstreamDirectory directory, Supplier<Optional<Contract>> contract, BatchThread thread,
			InstantSource clock, Ticker ticker) {
		this.directory = Objects.requireNonNull(directory, "directory is null");
		this.contract = Objects.requireNonNull(contract, "contract is null");
		this.thread = Objects.requireNonNull(thread, "thread is null");
		this.clock = Objects.requireNonNull(clock, "clock is null");
		this.ticker = Objects.requireNonNull(ticker, "ticker is null");
	}

	// -- room

	@Override
	public int freeSlots(String route) {
		return sidecars(route).stream().mapToInt((sidecar) -> roomAt(sidecar).free()).sum();
	}

	@Override
	public boolean serves(String route) {
		return !sidecars(route).isEmpty();
	}

	private List<Sidecar> sidecars(String route) {
		Optional<String> service = service(route);
		String model = route.startsWith(SERVICES) ? "" : route;
		return service
			.map((name) -> this.directory.sidecars()
				.stream()
				.filter((sidecar) -> sidecar.service().equals(name) && sidecar.accepts(Lane.LANE_BATCH))
				.filter((sidecar) -> sidecar.upstream().serves(model, this.ticker.nanos()))
				.toList())
			.orElse(List.of());
	}

	Optional<String> service(String route) {
		if (route.startsWith(SERVICES)) {
			String rest = route.substring(SERVICES.length());
			int slash = rest.indexOf('/');
			return Optional.of((slash < 0) ? rest : rest.substring(0, slash));
		}
		return this.contract.get().flatMap((text) -> text.serviceOfModel(route)).map(Service::name);
	}

	private SidecarRoom roomAt(Sidecar sidecar) {
		return this.rooms.computeIfAbsent(sidecar, SidecarRoom::new);
	}

	/**
	 * Forgets sidecars that are gone.
	 */
	void sweep() {
		this.rooms.keySet().retainAll(this.directory.sidecars());
	}

	/**
	 * Returns how many items of this entry are at sidecars.
	 * @return the count
	 */
	int inFlight() {
		return this.running.size();
	}

	// -- sending

	@Override
	public CompletableFuture<ItemOutcome> send(ItemRequest request) {
		Optional<Sidecar> chosen = sidecars(request.item().route()).stream()
			.max(Comparator.comparingInt((sidecar) -> roomAt(sidecar).free()));
		if (chosen.isEmpty()) {
			return CompletableFuture.completedFuture(new ItemOutcome.NotPassedOn(Duration.ZERO));
		}
		Run run = run(request);
		String key = run.getRequest() + "/" + run.getAttempt();
		ItemExchange exchange = new ItemExchange(chosen.get(), request.id().job(), run.getRequest(),
				request.item().model(), this.ticker);
		this.running.put(key, exchange);
		roomAt(chosen.get()).sent();
		if (!chosen.get().start(Lane.LANE_BATCH, run, exchange)) {
			exchange.refused();
		}
		exchange.outcome().whenComplete((outcome, failure) -> this.running.remove(key));
		return this.thread.here(exchange.outcome());
	}

	private Run run(ItemRequest request) {
		byte[] body = request.item().body().getBytes(StandardCharsets.UTF_8);
		Run.Builder run = Run.newBuilder()
			.setRequest(request.id().requestId() + "-" + request.epoch())
			.setAttempt(request.attempt())
			.setMethod("POST")
			.setPath(path(request.item()))
			.setContentType("application/json")
			.setBody(ByteString.copyFrom(body))
			.setRepeatable(request.item().idempotent())
			.setCreated(this.clock.instant().getEpochSecond())
			.setFingerprint(RequestReader.fingerprint(request.item().url(), body))
			.setAlone(request.isolated())
			.setAccount(request.account())
			.setItem(item(request));
		if (!request.item().model().isEmpty()) {
			run.setAnswerId("chatcmpl-" + request.id().requestId());
		}
		request.resume().ifPresent((resume) -> run.setResumeText(resume.text()).setResumeTokens(resume.tokens()));
		return run.build();
	}

	private static Item item(ItemRequest request) {
		return Item.newBuilder()
			.setJob(request.id().job().hex())
			.setChunk(request.id().chunk())
			.setIndex(request.id().index())
			.setShard(request.shard())
			.setEpoch(request.epoch())
			.build();
	}

	private static String path(BatchItem item) {
		if (!item.url().startsWith(SERVICES)) {
			return item.url();
		}
		int slash = item.url().indexOf('/', SERVICES.length());
		return (slash < 0) ? "/" : item.url().substring(slash);
	}

	/**
	 * Tells whether an item's service may be called twice.
	 * @param item the item
	 * @return whether it may; not if the service is not known
	 */
	boolean repeatable(BatchItem item) {
		return this.contract.get()
			.flatMap((text) -> service(item.route()).flatMap(text::service))
			.map((service) -> service.idempotent("POST", path(item)))
			.orElse(false);
	}

	// -- stopping

	@Override
	public void cancel(JobId job) {
		Frame frame = Frame.newBuilder().setCancel(Cancel.newBuilder().setJob(job.hex())).build();
		this.directory.sidecars().forEach((sidecar) -> sidecar.send(Lane.LANE_BATCH, frame));
	}

	@Override
	public void recall(JobId job) {
		this.running.values().stream().filter((exchange) -> exchange.job().equals(job)).forEach(ItemExchange::callBack);
	}

	/**
	 * Has sidecars refuse items of earlier owners of a shard.
	 * @param shard the shard
	 * @param lease the lease with the new epoch
	 */
	void fence(int shard, Lease lease) {
		Frame frame = Frame.newBuilder()
			.setFenceItems(FenceItems.newBuilder().setShard(shard).setEpoch(lease.epoch()))
			.build();
		this.directory.sidecars().forEach((sidecar) -> sidecar.send(Lane.LANE_BATCH, frame));
	}

}
