package org.ragworthook.core.job;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.JobException;

/**
 * Reads and writes records as JSON. The keys are the component names in snake case.
 * Unknown keys are ignored, since a newer version may have written them.
 */
final class JobJson {

	static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.serializationInclusion(JsonInclude.Include.NON_EMPTY)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private JobJson() {
	}

	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new JobException(ErrorCode.INTERNAL, "a record cannot be written as JSON", ex);
		}
	}

	static <T> T read(String text, Class<T> type) {
		try {
			return MAPPER.readValue(text, type);
		}
		catch (JsonProcessingException ex) {
			throw new JobException(ErrorCode.INTERNAL, "a record of a job is not well-formed JSON", ex);
		}
	}

}
