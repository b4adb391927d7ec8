package org.ragworthook.daemon.whole;

import java.util.List;
import java.util.stream.Collectors;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.OpenAIServiceException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.models.Model;
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
