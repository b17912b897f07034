package dev.agatepier.standin.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A call of a model engine. Its answer depends on nothing but the body, so that a checker can
 * recompute it.
 *
 * @param bodyDigest lower-case hexadecimal SHA-256 of the body
 * @param prompt the prompt
 * @param completionTokens tokens that the answer has
 * @param stream whether the answer is streamed token by token
 */
public record ModelCall(String bodyDigest, String prompt, int completionTokens, boolean stream) {

  /** Most tokens of one answer. */
  public static final int MAXIMUM_TOKENS = 65_536;

  private static final int DEFAULT_TOKENS = 16;
  private static final int TOKEN_HEXADECIMAL_DIGITS = 6;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Checks the parts. */
  public ModelCall {
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(prompt, "prompt");
    if (completionTokens < 1 || completionTokens > MAXIMUM_TOKENS) {
      throw new IllegalArgumentException("max_tokens must be from 1 to " + MAXIMUM_TOKENS);
    }
  }

  /**
   * Reads a call: {@code prompt}, {@code max_tokens}, {@code stream}, and {@code stop_after}, the
   * number of tokens after which the model ends by itself.
   *
   * @throws IllegalArgumentException if the body is not such a call
   */
  public static ModelCall parse(byte[] body) {
    try {
      JsonNode root = JSON.readTree(body);
      if (root == null || !root.path("prompt").isTextual()) {
        throw new IllegalArgumentException("$.prompt must be a text");
      }
      int maximum = root.path("max_tokens").asInt(DEFAULT_TOKENS);
      int tokens = Math.min(maximum, root.path("stop_after").asInt(maximum));
      return new ModelCall(
          Digests.sha256(body),
          root.path("prompt").asText(),
          tokens,
          root.path("stream").asBoolean(false));
    } catch (IOException malformed) {
      throw new IllegalArgumentException("the body is not JSON", malformed);
    }
  }

  /** Returns the words of the prompt; each counts as one token. */
  public List<String> promptWords() {
    return prompt.isBlank() ? List.of() : List.of(prompt.strip().split("\\s+"));
  }

  /** Returns one token of the answer, counted from 0. */
  public String token(int index) {
    return Digests.sha256(bodyDigest + ":" + index).substring(0, TOKEN_HEXADECIMAL_DIGITS);
  }

  /** Returns every token of the answer. */
  public List<String> tokens() {
    List<String> all = new ArrayList<>(completionTokens);
    for (int index = 0; index < completionTokens; index++) {
      all.add(token(index));
    }
    return all;
  }

  /** Returns the server-sent event of one token. */
  public String tokenEvent(int index) {
    return event("{\"token\":\"" + token(index) + "\"}");
  }

  /** Returns the server-sent events that end a whole streamed answer. */
  public String closingEvents() {
    return event("{\"usage\":" + usage() + "}") + event("[DONE]");
  }

  /** Returns the whole streamed answer. */
  public String streamedResponseBody() {
    StringBuilder answer = new StringBuilder();
    for (int index = 0; index < completionTokens; index++) {
      answer.append(tokenEvent(index));
    }
    return answer.append(closingEvents()).toString();
  }

  /** Returns the whole answer of a call that is not streamed. */
  public String bufferedResponseBody() {
    return "{\"text\":\"" + String.join(" ", tokens()) + "\",\"usage\":" + usage() + "}";
  }

  /** Returns the whole answer in the form that the call asked for. */
  public String responseBody() {
    return stream ? streamedResponseBody() : bufferedResponseBody();
  }

  private String usage() {
    int promptTokens = promptWords().size();
    return "{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}"
        .formatted(promptTokens, completionTokens, promptTokens + completionTokens);
  }

  private static String event(String data) {
    return "data: " + data + "\n\n";
  }
}
