package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.Failures;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.FaultyObjectStore.Fault;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.Stamps;

import static com.google.common.truth.Truth.assertThat;

class JobIntakeTests {

	private static final int CALLS_OF_SUBMIT = 7;

	private final JobWorld world = new JobWorld(4);

	private final JobWorld.Entry first = this.world.entry("a");

	private final JobWorld.Entry second = this.world.entry("b");

	private static ErrorCode failure(CompletableFuture<?> future) {
		assertThat(future.isCompletedExceptionally()).isTrue();
		return ((JobException) Failures.root(future.handle((value, failure) -> failure).join())).code();
	}

	private static String message(CompletableFuture<?> future) {
		return Failures.root(future.handle((value, failure) -> failure).join()).getMessage();
	}

	private int count(Kind kind) {
		return this.world.store.list(kind, Labels.empty()).join().objects().size();
	}

	@Test
	void shouldAcceptJob() {
		JobRecord job = this.first.submit("k", JobWorld.lines(1200)).join();
		assertThat(job.items()).isEqualTo(1200);
		assertThat(job.chunks()).isEqualTo(3);
		assertThat(job.models()).containsExactly("m");
		assertThat(this.world.record(job.id())).isEqualTo(job);
	}

	@Test
	void shouldReturnExistingJobAtAnotherEntry() {
		JobRecord job = this.first.submit("k", JobWorld.lines(3)).join();
		this.world.seconds(60);
		assertThat(this.second.submit("k", JobWorld.lines(3)).join()).isEqualTo(job);
		assertThat(count(Kind.JOB)).isEqualTo(1);
		assertThat(count(Kind.CHUNK)).isEqualTo(1);
	}

	@Test
	void shouldRefuseOtherContentUnderSameKey() {
		this.first.submit("k", JobWorld.lines(3)).join();
		assertThat(failure(this.second.upload("file of k", JobWorld.lines(4)))).isEqualTo(ErrorCode.FILE_KEY_REUSED);
		FileId other = this.second.upload("other", JobWorld.lines(4)).join().id();
		assertThat(failure(this.second.accept("k", other))).isEqualTo(ErrorCode.JOB_KEY_REUSED);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "{ | line 2 is not well-formed JSON",
			"{\"custom_id\":\"x\",\"url\":\"/v1/chat/completions\"} | line 2 has no body",
			"{\"url\":\"/v1/chat/completions\",\"body\":{}} | line 2 has no custom_id",
			"{\"custom_id\":\"i0\",\"url\":\"/v1/chat/completions\",\"body\":{}} | line 2 repeats the custom_id 'i0'",
			"{\"custom_id\":\"x\",\"url\":\"/v1/embeddings\",\"body\":{}} | line 2 goes to /v1/embeddings",
			"{\"custom_id\":\"x\",\"url\":\"/v1/chat/completions\",\"method\":\"GET\",\"body\":{}} | line 2 has a method",
			"{\"custom_id\":\"x\",\"url\":\"/v1/chat/completions\",\"body\":[]} | line 2 has a body that is not" })
	void shouldNameInvalidLine(String line, String message) {
		CompletableFuture<FileRecord> upload = this.first.upload("k", JobWorld.line("i0", true) + "\n" + line + "\n");
		assertThat(failure(upload)).isEqualTo(ErrorCode.JOB_BROKEN_LINE);
		assertThat(message(upload)).contains(message);
		assertThat(this.first.accept("k", FileId.of(JobWorld.ACCOUNT, "key:k")).isCompletedExceptionally()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "x", "\\\\", "\\\"", "é" })
	void shouldCountJsonEscapesInChunkSize(String filler) {
		String body = filler.repeat(12_000 / filler.length());
		String lines = IntStream.range(0, 400)
			.mapToObj((item) -> JobWorld.line("i" + item, true).replace("\"n\":1", "\"t\":\"" + body + "\""))
			.collect(Collectors.joining("\n"));
		this.first.upload("k", lines).join();
		this.world.store.list(Kind.CHUNK, Labels.empty())
			.join()
			.objects()
			.forEach((chunk) -> assertThat(JobJson.write(chunk.text()).getBytes(StandardCharsets.UTF_8).length)
				.isLessThan(Draft.MAX_BYTES));
	}

	@Test
	void shouldAcceptContentSplitAtAnyByte() {
		Upload upload = this.first.begin("k").join();
		for (byte unit : JobWorld.lines(3).getBytes(StandardCharsets.UTF_8)) {
			upload.write(new byte[] { unit }).join();
		}
		assertThat(upload.complete().join().items()).isEqualTo(3);
	}

	// Guards against a lost or duplicate job when an entry crashes at one of its store
	// calls while it accepts the job, and the caller repeats the request to another
	// entry.
	@ParameterizedTest
	@CsvSource({ "0", "1", "2", "3", "4", "5", "6" })
	void shouldAcceptOnceWhenEntryCrashesAtAnyCall(int callNumber) {
		for (Fault fault : List.of(Fault.DEAD_BEFORE, Fault.DEAD_AFTER)) {
			JobWorld trial = new JobWorld(4);
			JobWorld.Entry crashing = trial.entry("a");
			crashing.faulty.plan((call) -> {
				Fault earlier = (call.number() < callNumber) ? Fault.NONE : Fault.DEAD_BEFORE;
				return (call.number() == callNumber) ? fault : earlier;
			});
			CompletableFuture<JobRecord> lost = crashing.submit("k", JobWorld.lines(600));
			JobWorld.Entry other = trial.entry("b");
			JobRecord job = other.submit("k", JobWorld.lines(600)).join();
			assertThat(lost.isDone()).isFalse();
			assertThat(trial.store.list(Kind.JOB, Labels.empty()).join().objects()).hasSize(1);
			assertThat(job.items()).isEqualTo(600);
			for (int chunk = 0; chunk < job.chunks(); chunk++) {
				assertThat(trial.store.read(FileRecord.chunkKey(job.input(), chunk)).join()).isPresent();
			}
		}
	}

	@Test
	void shouldMakeAsManyCallsAsTheCrashTestCovers() {
		this.first.submit("k", JobWorld.lines(600)).join();
		assertThat(this.first.faulty.calls()).hasSize(CALLS_OF_SUBMIT);
	}

	// Guards against rejecting an accepted job: the store applies a write, and its
	// answer is lost.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3, 4, 5, 6 })
	void shouldAcceptWhenOneAnswerIsLost(int callNumber) {
		this.first.faulty
			.plan((call) -> (call.number() == callNumber && call.writes()) ? Fault.ANSWER_LOST : Fault.NONE);
		JobRecord job = this.first.submit("k", JobWorld.lines(600)).join();
		assertThat(this.world.record(job.id())).isEqualTo(job);
	}

	// Guards against a job that exists although it was rejected: the store rejects calls
	// for longer than the intake retries.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3, 4 })
	void shouldRejectDuringStoreOutage(int callNumber) {
		this.first.faulty.plan((call) -> (call.number() >= callNumber) ? Fault.REFUSED : Fault.NONE);
		CompletableFuture<JobRecord> job = this.first.submit("k", JobWorld.lines(600));
		this.world.seconds(30);
		assertThat(failure(job)).isAnyOf(ErrorCode.FILE_NOT_STORED, ErrorCode.JOB_NOT_ACCEPTED);
		assertThat(count(Kind.JOB)).isEqualTo(0);
	}

	// Guards against chunks of interrupted uploads filling the store: no job refers to
	// them.
	@Test
	void shouldDeleteChunksOfInterruptedUploads() {
		this.first.faulty.plan((call) -> (call.number() < 3) ? Fault.NONE : Fault.DEAD_BEFORE);
		this.first.submit("k", JobWorld.lines(2000));
		assertThat(count(Kind.CHUNK)).isGreaterThan(0);
		JobGarbageCollector collector = JobGarbageCollector.of(this.world.store, Stamps.of("c"), this.world.clock,
				Duration.ofDays(30), Duration.ofHours(6));
		collector.sweep(0).join();
		assertThat(count(Kind.CHUNK)).isGreaterThan(0);
		this.world.time.advance(Duration.ofHours(7));
		collector.sweep(0).join();
		assertThat(count(Kind.CHUNK)).isEqualTo(0);
		assertThat(count(Kind.FILE)).isEqualTo(0);
	}

	@Test
	void shouldNotDeleteFileOfOpenJob() {
		JobRecord job = this.first.submit("k", JobWorld.lines(3)).join();
		JobGarbageCollector collector = JobGarbageCollector.of(this.world.store, Stamps.of("c"), this.world.clock,
				Duration.ofDays(30), Duration.ofHours(6));
		FileId input = FileId.parse(job.inputFile()).orElseThrow();
		assertThat(failure(collector.delete(JobWorld.ACCOUNT, input))).isEqualTo(ErrorCode.FILE_IN_USE);
		assertThat(failure(collector.delete("other", input))).isEqualTo(ErrorCode.FILE_NOT_FOUND);
		assertThat(count(Kind.CHUNK)).isEqualTo(1);
	}

}
