package org.ragworthook.gateway.job;

import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.ConditionalWriter;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectKey;
import org.ragworthook.core.store.Stamps;
import org.ragworthook.core.store.Stored;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a job and its results are read whole or not at all.
 */
class JobStoreTests {

	private static final int ITEMS = 3;

	private final MemoryObjectStore objects = MemoryObjectStore.empty();

	private final ConditionalWriter writer = ConditionalWriter.of(this.objects, Stamps.of("t"));

	private final JobStore store = JobStore.of(this.objects, this.writer);

	private Job createLargeJob() {
		String body = "A".repeat(JobStore.MAX_CHUNK_CHARS - 1_000);
		List<JobItem> items = IntStream.range(0, ITEMS)
			.mapToObj((number) -> new JobItem("i" + number, "/p", Map.of(), body, 1))
			.toList();
		this.store.create(new Job("job", Optional.empty(), "h", "/p", 0, 1, ITEMS, 0, ITEMS, false, items)).join();
		return this.store.read("job").join().orElseThrow();
	}

	/**
	 * Guards against the loss of a job that the version before has accepted: it took
	 * negative numbers of tokens, and stored their sum.
	 */
	@Test
	void shouldReadAJobWithNegativeTokens() {
		String text = "{\"id\":\"a\",\"itemCount\":3,\"chunks\":0,\"tokens\":-3,\"items\":[]}";
		Job job = JobStore.job(new Stored(ObjectKey.of(Kind.JOB, "ja"), 1, Draft.of(text, "s")));
		assertThat(job.tokens()).isEqualTo(0);
	}

	/**
	 * Guards against a process whose memory is taken up by one job of another writer, and
	 * against a job whose tokens leave no room for the jobs of all callers.
	 * @param field a field of the job with a number that no job has
	 */
	@ParameterizedTest
	@ValueSource(strings = { "\"chunks\":2000000000", "\"chunks\":4", "\"chunks\":-1", "\"chunks\":4294967297",
			"\"itemCount\":2000000000", "\"itemCount\":-3", "\"tokens\":-9000000000", "\"tokens\":9223372036854775807",
			"\"tokens\":1e300", "\"tokens\":[]" })
	void shouldRejectJobsWithNumbersOutOfRange(String field) {
		String text = "{\"id\":\"a\",\"itemCount\":3,\"chunks\":3,\"tokens\":30,\"items\":[]," + field + "}";
		Stored odd = new Stored(ObjectKey.of(Kind.JOB, "ja"), 1, Draft.of(text, "s"));
		boolean read = true;
		try {
			JobStore.job(odd);
		}
		catch (UncheckedIOException ex) {
			read = false;
		}
		assertThat(read).isFalse();
	}

	@Test
	void shouldReadTheItemsOfAllObjects() {
		Job head = createLargeJob();
		assertThat(head.chunks()).isEqualTo(ITEMS);
		assertThat(this.store.withItems(head).join().items()).hasSize(ITEMS);
	}

	/**
	 * Guards against a job that runs, and shows the bodies of, only those items whose
	 * object could be read.
	 * @param missing the number of the object that the store does not return
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2 })
	void shouldNotReadAPartOfTheItems(int missing) {
		Job head = createLargeJob();
		ObjectKey key = ObjectKey.of(Kind.CHUNK, "jjob.0000" + missing);
		long version = this.objects.read(key).join().orElseThrow().version();
		assertThat(this.objects.delete(key, version).join()).isTrue();
		Throwable failure = this.store.withItems(head).handle((job, thrown) -> thrown).join();
		assertThat(ConditionalWriter.codeOf(failure)).hasValue(ErrorCode.STORE_UNAVAILABLE);
	}

	/**
	 * Guards against a segment that reads as one without results: the results after it
	 * would be shown at other positions.
	 * @param text the text of the stored segment
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", " ", "null", "{}", "[{\"item\":\"a\"", "[{}]", "[{\"item\":\"a\"}]",
			"[{\"item\":\"a\",\"completed\":true}]", "[{\"item\":\"a\",\"output\":\"text\"}]" })
	void shouldNotReadAMalformedSegment(String text) {
		this.writer.create(ObjectKey.of(Kind.RESULT, "jjob.00000"), text, Labels.empty()).join();
		Throwable failure = this.store.segment("job", 0).handle((segment, thrown) -> thrown).join();
		assertThat(failure).isNotNull();
	}

	/**
	 * Guards against progress whose text is missing being taken for that of an item whose
	 * events have no text.
	 * @param text the text of the stored progress
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "{}", "[{\"job\":\"job\",\"item\":\"a\",\"lastEvent\":3}]",
			"[{\"job\":\"job\",\"item\":\"a\",\"output\":\"text\"}]",
			"[{\"job\":\"job\",\"item\":\"a\",\"lastEvent\":\"x\",\"output\":\"text\"}]" })
	void shouldNotReadMalformedProgress(String text) {
		ObjectKey key = ObjectKey.of(Kind.PROGRESS, "batch-1");
		this.writer.create(key, text, Labels.empty()).join();
		Optional<RuntimeException> failure = failure(
				() -> ProgressStore.progress(this.objects.read(key).join().orElseThrow()));
		assertThat(failure).isPresent();
	}

	static Stream<String> ids() {
		return Stream.of("a", "A", "acme/a", "A".repeat(100), "A".repeat(123), "A".repeat(124), "%25".repeat(100),
				"%25".repeat(99) + "%2f", "\u4e16".repeat(100), "account/" + "X".repeat(300));
	}

	/**
	 * Guards against a job that cannot be stored under the id that its caller chose: an
	 * id has more characters once it is encoded.
	 * @param id the job's id
	 */
	@ParameterizedTest
	@MethodSource("ids")
	void shouldStoreAJobUnderAnyId(String id) {
		JobItem item = new JobItem("i", "/p", Map.of(), "", 1);
		assertThat(
				this.store.create(new Job(id, Optional.empty(), "h", "/p", 0, 1, 1, 0, 1, false, List.of(item))).join())
			.isTrue();
		List<ItemOutcome> outcomes = List.of(new ItemOutcome("i", true, "text"));
		assertThat(this.store.append(id, 0, outcomes).join()).isTrue();
		assertThat(this.store.read(id).join().map(Job::id)).hasValue(id);
		assertThat(this.store.segment(id, 0).join()).hasValue(outcomes);
	}

	@Test
	void shouldGiveEachIdAnObjectOfItsOwn() {
		assertThat(ids().map(JobStore::objectName).distinct().count()).isEqualTo(ids().count());
	}

	private static Optional<RuntimeException> failure(Runnable call) {
		try {
			call.run();
			return Optional.empty();
		}
		catch (RuntimeException ex) {
			return Optional.of(ex);
		}
	}

}
