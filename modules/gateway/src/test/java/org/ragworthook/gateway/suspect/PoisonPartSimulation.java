package org.ragworthook.gateway.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.ragworthook.core.time.ManualTime;

/**
 * Simulates entries and upstreams under a virtual clock, with callers whose requests
 * share parts of their prompts. One part crashes the upstreams that run it. An upstream
 * that crashes breaks off all its requests and is back two seconds later with another id.
 */
final class PoisonPartSimulation {

	private static final int ENTRIES = 4;

	private static final int UPSTREAMS = 13;

	private static final int DOMAINS = 3;

	private static final int SLOTS = 8;

	private static final int ATTEMPTS = 2;

	private static final int SECOND_PARTS = 25;

	private static final Duration SOUND_INTERVAL = Duration.ofMillis(17);

	private static final Duration POISON_INTERVAL = Duration.ofMillis(150);

	private static final Duration RUN_TIME = Duration.ofMillis(350);

	private static final Duration TIME_TO_CRASH = Duration.ofMillis(80);

	private static final Duration DOWN_TIME = Duration.ofSeconds(2);

	private static final Duration REPORT_DELAY = Duration.ofMillis(13);

	private static final Duration POISON_START = Duration.ofSeconds(4);

	private static final Duration END = Duration.ofSeconds(20);

	/** Time after the fifth crash from which no more requests with the part may run. */
	private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

	private static final long FIRST_SHARED_PART = 1_000;

	private static final long POISON_PART = 2;

	private static final int FIRST_SECOND_PART = 100;

	private final ManualTime time = ManualTime.of();

	private final Random random;

	/** The parts that all requests begin with. */
	private final List<Long> shared;

	private final List<Rule> entries = new ArrayList<>();

	private final List<Upstream> upstreams = new ArrayList<>();

	private final Map<Integer, Long> activeNanos = new HashMap<>();

	private int nextId;

	private int crashes;

	private long fifthCrashNanos = Long.MAX_VALUE;

	private int lateRuns;

	private int soundRequests;

	private int soundRefused;

	PoisonPartSimulation(long seed, int sharedParts, Function<PoisonPartSimulation, Rule> rule) {
		this.random = new Random(seed);
		this.shared = LongStream.range(FIRST_SHARED_PART, FIRST_SHARED_PART + sharedParts).boxed().toList();
		for (int i = 0; i < ENTRIES; i++) {
			this.entries.add(rule.apply(this));
		}
		for (int i = 0; i < UPSTREAMS; i++) {
			this.upstreams.add(new Upstream(i % DOMAINS));
		}
	}

	ManualTime time() {
		return this.time;
	}

	boolean activeAfter(int upstream, long nanos) {
		return this.activeNanos.getOrDefault(upstream, Long.MIN_VALUE) > nanos;
	}

	/**
	 * Runs the simulation.
	 * @param poison whether requests with the poison part come
	 * @param trouble what happens besides
	 * @return the counts
	 */
	Result run(boolean poison, Trouble trouble) {
		every(SOUND_INTERVAL, this::sendSound);
		every(Duration.ofMillis(100), () -> this.entries.forEach(this::report));
		if (poison) {
			this.time.schedule(POISON_START, () -> every(POISON_INTERVAL, this::sendPoison));
		}
		for (int second = 2; second < END.toSeconds(); second += 3) {
			this.time.schedule(Duration.ofSeconds(second), () -> trouble.strike(this));
		}
		for (long millis = 0; millis < END.toMillis(); millis++) {
			this.time.advance(Duration.ofMillis(1));
		}
		return new Result(this.crashes, this.lateRuns, this.soundRequests, this.soundRefused);
	}

	private void every(Duration interval, Runnable task) {
		task.run();
		this.time.schedule(interval, () -> every(interval, task));
	}

	private void sendSound() {
		this.soundRequests++;
		long second = FIRST_SECOND_PART + (int) (SECOND_PARTS * Math.pow(this.random.nextDouble(), 2));
		send(new Request(entry(), prompt(second), false));
	}

	private void sendPoison() {
		send(new Request(entry(), prompt(POISON_PART), true));
	}

	private List<Long> prompt(long last) {
		return Stream.concat(this.shared.stream(), Stream.of(last)).toList();
	}

	private Rule entry() {
		return this.entries.get(this.random.nextInt(ENTRIES));
	}

	private void send(Request request) {
		if (request.entry.refused(request.parts)) {
			this.soundRefused += request.poison ? 0 : 1;
			return;
		}
		List<Upstream> free = this.upstreams.stream()
			.filter((upstream) -> upstream.up && upstream.running.size() < SLOTS)
			.toList();
		if (free.isEmpty() || request.attempts == ATTEMPTS) {
			return;
		}
		request.attempts++;
		if (request.poison && this.fifthCrashNanos != Long.MAX_VALUE
				&& this.time.nanos() - this.fifthCrashNanos > STABLE_WINDOW.toNanos()) {
			this.lateRuns++;
		}
		free.get(this.random.nextInt(free.size())).start(request);
	}

	private void report(Rule from) {
		this.entries.stream().filter((to) -> to != from).forEach((to) -> from.reportTo(to, this.time, REPORT_DELAY));
	}

	private final class Upstream {

		private final int domain;

		private int id = PoisonPartSimulation.this.nextId++;

		private boolean up = true;

		private List<Request> running = new ArrayList<>();

		Upstream(int domain) {
			this.domain = domain;
		}

		private void start(Request request) {
			PoisonPartSimulation simulation = PoisonPartSimulation.this;
			this.running.add(request);
			int run = ++request.run;
			simulation.time.schedule(request.poison ? TIME_TO_CRASH : RUN_TIME, () -> {
				if (request.run != run || !this.running.contains(request)) {
					return;
				}
				if (request.poison) {
					simulation.crashes++;
					simulation.fifthCrashNanos = (simulation.crashes == 5) ? simulation.time.nanos()
							: simulation.fifthCrashNanos;
					crash();
				}
				else {
					this.running.remove(request);
					simulation.activeNanos.put(this.id, simulation.time.nanos());
					request.entry.succeeded(request.parts);
				}
			});
		}

		private void crash() {
			this.up = false;
			breakOff();
			PoisonPartSimulation.this.time.schedule(DOWN_TIME, () -> {
				this.id = PoisonPartSimulation.this.nextId++;
				this.up = true;
			});
		}

		private void breakOff() {
			List<Request> lost = this.running;
			this.running = new ArrayList<>();
			for (Request request : lost) {
				request.run++;
				request.entry.lost(request.parts, this.id);
			}
			lost.forEach((request) -> report(request.entry));
			lost.forEach(PoisonPartSimulation.this::send);
		}

	}

	private static final class Request {

		private final Rule entry;

		private final List<Long> parts;

		private final boolean poison;

		private int attempts;

		private int run;

		Request(Rule entry, List<Long> parts, boolean poison) {
			this.entry = entry;
			this.parts = parts;
			this.poison = poison;
		}

	}

	/** What happens besides the poison part. */
	enum Trouble {

		NONE {

			@Override
			void strike(PoisonPartSimulation simulation) {
			}

		},

		/** All upstreams of a failure domain lose power. */
		DOMAIN_LOST {

			@Override
			void strike(PoisonPartSimulation simulation) {
				int domain = simulation.random.nextInt(DOMAINS);
				simulation.upstreams.stream().filter((upstream) -> upstream.domain == domain).forEach(Upstream::crash);
			}

		},

		/** All connections are reset, while the upstreams go on. */
		RESETS {

			@Override
			void strike(PoisonPartSimulation simulation) {
				simulation.upstreams.forEach(Upstream::breakOff);
			}

		},

		/** Single upstreams crash. */
		CRASHES {

			@Override
			void strike(PoisonPartSimulation simulation) {
				for (int i = 0; i < 2; i++) {
					simulation.upstreams.get(simulation.random.nextInt(UPSTREAMS)).crash();
				}
			}

		};

		abstract void strike(PoisonPartSimulation simulation);

	}

	/** Decides at one entry which requests are refused. */
	interface Rule {

		boolean refused(List<Long> parts);

		void lost(List<Long> parts, int upstream);

		void succeeded(List<Long> parts);

		void reportTo(Rule other, ManualTime time, Duration delay);

	}

	/** The detector of the product. */
	record Detecting(PoisonPartDetector detector) implements Rule {

		static Rule of(PoisonPartSimulation simulation) {
			return new Detecting(PoisonPartDetector.empty(simulation.time, simulation::activeAfter));
		}

		@Override
		public boolean refused(List<Long> parts) {
			return this.detector.refused(parts);
		}

		@Override
		public void lost(List<Long> parts, int upstream) {
			this.detector.recordConnectionLoss(parts, upstream);
		}

		@Override
		public void succeeded(List<Long> parts) {
			this.detector.recordSuccess(parts);
		}

		@Override
		public void reportTo(Rule other, ManualTime time, Duration delay) {
			List<PartObservation> observations = this.detector.observations();
			if (!observations.isEmpty()) {
				time.schedule(delay, () -> ((Detecting) other).detector.add(observations));
			}
		}

	}

	/** Refuses each part that was lost with three upstreams. */
	record Counting(Map<Long, Set<Integer>> lost) implements Rule {

		static Rule of(PoisonPartSimulation simulation) {
			return new Counting(new HashMap<>());
		}

		@Override
		public boolean refused(List<Long> parts) {
			return parts.stream().anyMatch((part) -> this.lost.getOrDefault(part, Set.of()).size() >= 3);
		}

		@Override
		public void lost(List<Long> parts, int upstream) {
			parts.forEach((part) -> this.lost.computeIfAbsent(part, (key) -> new HashSet<>()).add(upstream));
		}

		@Override
		public void succeeded(List<Long> parts) {
		}

		@Override
		public void reportTo(Rule other, ManualTime time, Duration delay) {
			Map<Long, Set<Integer>> copy = new HashMap<>();
			this.lost.forEach((part, upstreams) -> copy.put(part, Set.copyOf(upstreams)));
			time.schedule(delay,
					() -> copy.forEach((part, upstreams) -> upstreams.forEach((id) -> other.lost(List.of(part), id))));
		}

	}

	/**
	 * The counts of a simulation.
	 *
	 * @param crashes upstreams that crashed under the poison part
	 * @param lateRuns requests with the part that were sent too late after the fifth
	 * crash
	 * @param soundRequests requests without the part
	 * @param soundRefused those of them that were refused
	 */
	record Result(int crashes, int lateRuns, int soundRequests, int soundRefused) {
	}

}
