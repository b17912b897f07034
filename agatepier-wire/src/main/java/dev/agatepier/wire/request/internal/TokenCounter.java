package dev.agatepier.wire.request.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Counts the tokens in the server-sent events of a model engine: one for each event with content.
 */
final class TokenCounter {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final String USAGE = "\"usage\"";

  /** Maximum bytes of a line that are parsed; a longer line counts as one token. */
  private static final int MAXIMUM_LINE_BYTES = 65_536;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private long reportedTokens;

  /** Parses the next chunk of the response and returns how many tokens end in it. */
  int count(byte[] chunk) {
    int tokens = 0;
    for (byte next : chunk) {
      if (next == '\n') {
        tokens += isToken(line.toString(StandardCharsets.UTF_8).strip()) ? 1 : 0;
        line.reset();
      } else if (line.size() < MAXIMUM_LINE_BYTES) {
        line.write(next);
      }
    }
    return tokens;
  }

  /** Returns the total number of tokens that the engine has reported; 0 if it has reported none. */
  long reportedTokens() {
    return reportedTokens;
  }

  private boolean isToken(String event) {
    if (!event.startsWith(DATA)) {
      return false;
    }
    String data = event.substring(DATA.length()).strip();
    return !data.equals(DONE) && !(data.contains(USAGE) && recordUsage(data));
  }

  private boolean recordUsage(String data) {
    try {
      JsonNode total = MAPPER.readTree(data).path("usage").path("total_tokens");
      reportedTokens = total.canConvertToLong() ? Math.max(0, total.asLong()) : reportedTokens;
      return !total.isMissingNode();
    } catch (JsonProcessingException malformed) {
      return false;
    }
  }
}
