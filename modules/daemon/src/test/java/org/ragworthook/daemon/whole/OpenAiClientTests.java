package org.ragworthook.daemon.whole;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.MultipartField;
import com.openai.core.http.HttpResponse;
import com.openai.core.http.StreamResponse;
import com.openai.errors.OpenAIServiceException;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FileObject;
import com.openai.models.files.FilePurpose;
import com.openai.models.models.Model;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.contract.KeyHash;
import org.ragworthook.core.error.ErrorCode;

import static com.google.common.truth.Truth.assertThat;

/**
 * The published client of the OpenAI API, unmodified, against an entry.
 */
class OpenAiClientTests {

	private static final String TEXT = """
			{
				"name": "test",
				"regions": [{"name": "region", "failureDomains": ["domain"]}],
				"services": [{"name": "desk", "failureDomains": ["domain"], "upstreams": 1,
					"models": [{"name": "test-model", "version": "v1",
						"replicas": {"min": 1, "max": 1, "failureDomains": 1}}]}],
				"accounts": [{"name": "tester", "keys": ["%s"]}]
			}
			""".formatted(KeyHash.of(WholeFleet.KEY).text());

	private static final int ITEMS = 40;

	private static final String ITEM = "{\"custom_id\": \"item-%d\", \"method\": \"POST\", "
			+ "\"url\": \"/v1/chat/completions\", \"body\": {\"model\": \"test-model\", \"max_tokens\": 5, "
			+ "\"messages\": [{\"role\": \"user\", \"content\": \"cut sheet %d\"}]}}";

	private static WholeFleet fleet;

	private static OpenAIClient client;

	private static OpenAIClient stranger;

	@BeforeAll
	static void start() {
		fleet = new WholeFleet(TEXT);
		fleet.upstream(4);
		String url = fleet.entry() + "/v1";
		fleet.awaitServing();
		client = OpenAIOkHttpClient.builder().baseUrl(url).apiKey(WholeFleet.KEY).maxRetries(0).build();
		stranger = OpenAIOkHttpClient.builder().baseUrl(url).apiKey("nobody").maxRetries(0).build();
	}

	@AfterAll
	static void stop() {
		client.close();
		stranger.close();
		fleet.close();
	}

	private static ChatCompletionCreateParams.Builder question() {
		return ChatCompletionCreateParams.builder()
			.model(WholeFleet.MODEL)
			.maxTokens(7)
			.addUserMessage("check the width");
	}

	@Test
	void shouldListModels() {
		List<String> models = client.models().list().data().stream().map(Model::id).toList();
		assertThat(models).containsExactly(WholeFleet.MODEL);
	}

	@Test
	void shouldStreamTheSameTextThatItAnswersWhole() {
		ChatCompletion whole = client.chat().completions().create(question().build());
		String text = whole.choices().get(0).message().content().orElseThrow();
		assertThat(text).isNotEmpty();
		assertThat(whole.usage().orElseThrow().completionTokens()).isEqualTo(7);
		try (StreamResponse<ChatCompletionChunk> stream = client.chat()
			.completions()
			.createStreaming(question().build())) {
			List<ChatCompletionChunk> chunks = stream.stream().toList();
			assertThat(chunks.stream().map(ChatCompletionChunk::id).distinct().count()).isEqualTo(1);
			assertThat(chunks.stream()
				.flatMap((chunk) -> chunk.choices().stream())
				.map((choice) -> choice.delta().content().orElse(""))
				.collect(Collectors.joining())).isEqualTo(text);
		}
	}

	/**
	 * The whole way of a job with the published client: upload, create, poll, read the
	 * results. The client believes that the job was lost and creates it again of the same
	 * upload; a second job would cut every sheet twice. A stranger's key finds nothing.
	 */
	@Test
	void shouldRunABatchOfAFile() {
		String input = IntStream.range(0, ITEMS)
			.mapToObj((item) -> ITEM.formatted(item, item))
			.collect(Collectors.joining("\n"));
		FileObject file = client.files().create(upload(input));
		Batch batch = client.batches().create(batchOf(file.id()));
		assertThat(client.batches().create(batchOf(file.id())).id()).isEqualTo(batch.id());
		WholeFleet.await(() -> status(batch).equals(Batch.Status.COMPLETED));
		Batch ended = client.batches().retrieve(batch.id());
		assertThat(ended.requestCounts().orElseThrow().completed()).isEqualTo(ITEMS);
		List<String> results = lines(ended.outputFileId().orElseThrow());
		assertThat(results).hasSize(ITEMS);
		assertThat(results.stream().map(OpenAiClientTests::customId).sorted().toList())
			.containsExactlyElementsIn(IntStream.range(0, ITEMS).mapToObj((item) -> "item-" + item).sorted().toList());
		assertThat(failure(() -> stranger.batches().retrieve(batch.id())))
			.isEqualTo("401 " + ErrorCode.ACCESS_UNKNOWN_KEY.text());
	}

	/**
	 * A line of an uploaded file is broken. Were the others taken, the caller would wait
	 * for a job that is not the one he sent; he is told the line, and nothing is
	 * accepted.
	 */
	@Test
	void shouldNameABrokenLineOfAFile() {
		String input = ITEM.formatted(0, 0) + "\n{\"custom_id\": \n" + ITEM.formatted(2, 2);
		try {
			FileObject file = client.files().create(upload(input));
			client.batches().create(batchOf(file.id()));
			throw new AssertionError("a broken file was accepted");
		}
		catch (OpenAIServiceException ex) {
			assertThat(ex.code().orElseThrow()).isEqualTo(ErrorCode.JOB_BROKEN_LINE.text());
			assertThat(ex.getMessage()).contains("line 2");
		}
	}

	private static FileCreateParams upload(String content) {
		return FileCreateParams.builder()
			.file(MultipartField.<InputStream>builder()
				.value(new ByteArrayInputStream(content.getBytes(StandardCharsets.UTF_8)))
				.filename("items.jsonl")
				.build())
			.purpose(FilePurpose.BATCH)
			.build();
	}

	private static BatchCreateParams batchOf(String file) {
		return BatchCreateParams.builder()
			.inputFileId(file)
			.endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
			.completionWindow(BatchCreateParams.CompletionWindow._24H)
			.build();
	}

	private static Batch.Status status(Batch batch) {
		return client.batches().retrieve(batch.id()).status();
	}

	private static List<String> lines(String file) {
		try (HttpResponse content = client.files().content(file)) {
			return new String(content.body().readAllBytes(), StandardCharsets.UTF_8).lines().toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String customId(String line) {
		return new JsonObject(line).getString("custom_id");
	}

	@Test
	void shouldGiveTypedErrors() {
		assertThat(failure(() -> client.chat().completions().create(question().model("nope").build())))
			.isEqualTo("404 " + ErrorCode.REQUEST_UNKNOWN_MODEL.text());
		assertThat(failure(() -> stranger.models().list())).isEqualTo("401 " + ErrorCode.ACCESS_UNKNOWN_KEY.text());
		String large = "x".repeat(70_000);
		assertThat(failure(() -> client.chat().completions().create(question().addUserMessage(large).build())))
			.isEqualTo("413 " + ErrorCode.REQUEST_TOO_LARGE.text());
	}

	private static String failure(Runnable call) {
		try {
			call.run();
		}
		catch (OpenAIServiceException ex) {
			return ex.statusCode() + " " + ex.code().orElse("without a code");
		}
		throw new AssertionError("the call succeeded");
	}

}
