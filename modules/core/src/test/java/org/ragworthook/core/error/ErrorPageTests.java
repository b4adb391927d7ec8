package org.ragworthook.core.error;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a docs/ERRORS.md that is out of date: operators look codes up there, so
 * its table must list exactly the codes of {@link ErrorCode}.
 */
class ErrorPageTests {

	private static final Path PAGE = Path.of("..", "..", "docs", "ERRORS.md");

	private static final Pattern ROW = Pattern.compile("\\| RWH-\\d{4} \\| .*");

	@Test
	void shouldListEachCodeOnceInOrder() throws IOException {
		List<String> documented = Files.readAllLines(PAGE).stream().filter(ROW.asMatchPredicate()).toList();
		List<String> expected = Stream.of(ErrorCode.values())
			.sorted(Comparator.comparingInt(ErrorCode::number))
			.map(ErrorPageTests::row)
			.toList();
		assertWithMessage("rows of docs/ERRORS.md").that(documented).containsExactlyElementsIn(expected).inOrder();
	}

	@Test
	void shouldUseEachNumberOnce() {
		List<Integer> numbers = Stream.of(ErrorCode.values()).map(ErrorCode::number).toList();
		assertThat(numbers).containsNoDuplicates();
	}

	private static String row(ErrorCode code) {
		return String.format("| %s | `%s` | %d | %s |", code.text(), code, code.httpStatus(), code.remedy());
	}

}
