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
 * An operator looks a code up in docs/ERRORS.md; the page has each code of the program
 * and no other.
 */
class ErrorPageTests {

	private static final Path PAGE = Path.of("..", "..", "docs", "ERRORS.md");

	private static final Pattern ROW = Pattern.compile("\\| RWH-\\d{4} \\| .*");

	@Test
	void shouldListEachCodeOnceInOrder() throws IOException {
		List<String> listed = Files.readAllLines(PAGE).stream().filter(ROW.asMatchPredicate()).toList();
		List<String> known = Stream.of(ErrorCode.values())
			.sorted(Comparator.comparingInt(ErrorCode::number))
			.map(ErrorPageTests::row)
			.toList();
		assertWithMessage("rows of docs/ERRORS.md").that(listed).containsExactlyElementsIn(known).inOrder();
	}

	@Test
	void shouldNotUseANumberTwice() {
		List<Integer> numbers = Stream.of(ErrorCode.values()).map(ErrorCode::number).toList();
		assertThat(numbers).containsNoDuplicates();
	}

	private static String row(ErrorCode code) {
		return String.format("| %s | `%s` | %d | %s |", code.text(), code, code.httpStatus(), code.remedy());
	}

}
