package org.ragworthook.core.job;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.error.JobException;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.Kind;
import org.ragworthook.core.store.Labels;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against untyped errors and oversized chunks when a caller uploads arbitrary
 * content as a batch file: binary data, half a line, a line of a megabyte without an end.
 * The error must name the invalid line.
 */
class UploadFuzzTests {

	private static final String SEED = "20261202";

	@Property(seed = SEED, tries = 1000)
	void shouldRejectArbitraryBytesWithTypedError(@ForAll("buffers") List<byte[]> buffers) {
		accepts(buffers);
	}

	@Property(seed = SEED, tries = 1000)
	void shouldRejectDamagedLinesWithTypedError(@ForAll("lines") List<String> lines) {
		accepts(List.of(String.join("\n", lines).getBytes(StandardCharsets.UTF_8)));
	}

	@Test
	void shouldRejectLineWithoutEnd() {
		byte[] buffer = "x".repeat(64 * 1024).getBytes(StandardCharsets.UTF_8);
		assertThat(accepts(Collections.nCopies(40, buffer))).isFalse();
	}

	@Test
	void shouldRejectDeeplyNestedLines() {
		String deep = "{\"custom_id\":\"a\",\"url\":\"/v1\",\"body\":" + "[".repeat(100_000);
		assertThat(accepts(List.of(deep.getBytes(StandardCharsets.UTF_8)))).isFalse();
	}

	@Provide
	Arbitrary<List<byte[]>> buffers() {
		return Arbitraries.bytes().array(byte[].class).ofMaxSize(200).list().ofMaxSize(10);
	}

	@Provide
	Arbitrary<List<String>> lines() {
		Arbitrary<String> fragments = Arbitraries.of("", " ", "{}", "null", "[]", "{", "\"", "\u0000", "\ud800",
				"{\"custom_id\":1}", "{\"body\":{}}", JobWorld.line("a", true), JobWorld.line("a", false),
				JobWorld.line("b", true) + "x", JobWorld.line("c", true).replace("{\"model", "[\"model"));
		return fragments.list().ofMaxSize(6);
	}

	private static boolean accepts(List<byte[]> buffers) {
		JobWorld world = new JobWorld(1);
		try {
			Upload upload = world.entry("e").begin("k").join();
			CompletableFuture<Void> written = CompletableFuture.completedFuture(null);
			for (byte[] buffer : buffers) {
				written = written.thenCompose((before) -> upload.write(buffer));
			}
			Optional<FileRecord> file = Optional.of(written.thenCompose((done) -> upload.complete()).join());
			world.store.list(Kind.CHUNK, Labels.empty())
				.join()
				.objects()
				.forEach((chunk) -> assertThat(chunk.draft().bytes()).isAtMost(Draft.MAX_BYTES));
			return file.isPresent();
		}
		catch (CompletionException ex) {
			assertThat(ex).hasCauseThat().isInstanceOf(JobException.class);
			return false;
		}
	}

}
