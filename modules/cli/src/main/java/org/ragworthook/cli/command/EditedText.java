package org.ragworthook.cli.command;

import java.nio.file.Path;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A text in a file, with the version it was edited from. {@code get --to} writes the
 * version into the first line as a comment, and {@code apply} and {@code diff} read it
 * back, so that an operator cannot submit an old copy as if it were new.
 *
 * @param text the text without that line
 * @param base the version, if the file names one
 */
record EditedText(String text, Optional<Long> base) {

	private static final String MARK = "// ragworthook: edited from version ";

	private static final Pattern FIRST_LINE = Pattern.compile(Pattern.quote(MARK) + "(\\d{1,18})[^\\n]*\\n");

	static EditedText read(Path file) {
		String content = Session.read(file);
		Matcher matcher = FIRST_LINE.matcher(content);
		if (!matcher.lookingAt()) {
			return new EditedText(content, Optional.empty());
		}
		return new EditedText(content.substring(matcher.end()), Optional.of(Long.parseLong(matcher.group(1))));
	}

	String marked() {
		return MARK + this.base.orElse(0L) + "\n" + this.text;
	}

}
