package dev.agatepier.standin.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A call of a model engine. The response is a function of the request body, so that tests can
 * recompute it.
 *
 * @param bodyDigest lower-case hexadecimal SHA-256 of the body
 * @param prompt the prompt
 * @param completionTokens number of tokens of the response
 * @param stream whether the response is streamed token by token
 */
public record ModelCall(String bodyDigest, String prompt, int completionTokens, boolean stream) {

  /** Maximum number of tokens of one response. */
  public static final int MAXIMUM_TOKENS = 65_536;

  private static final int DEFAULT_TOKENS = 16;
  private static final int TOKEN_HEXADECIMAL_DIGITS = 6;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Rejects null components and a number of tokens out of range. */
  public ModelCall {
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(prompt, "prompt");
    if (completionTokens < 1 || completionTokens > MAXIMUM_TOKENS) {
      throw new IllegalArgumentException("max_tokens must be from 1 to " + MAXIMUM_TOKENS);
    }
  }

  /**
   * Parses a call: {@code prompt}, {@code max_tokens}, {@code stream}, and {@code stop_after}, the
   * number of tokens after which the model stops by itself.
   *
   * @throws IllegalArgumentException if the body is not valid JSON, has no prompt or too many
   *     tokens
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

  /** Returns the words of the prompt; each is one prompt token. */
  public List<String> promptWords() {
    return prompt.isBlank() ? List.of() : List.of(prompt.strip().split("\\s+"));
  }

  /** Returns the token of the response at an index from 0. */
  public String token(int index) {
    return Digests.sha256(bodyDigest + ":" + index).substring(0, TOKEN_HEXADECIMAL_DIGITS);
  }

  /** Returns all tokens of the response. */
  public List<String> tokens() {
    List<String> all = new ArrayList<>(completionTokens);
    for (int index = 0; index < completionTokens; index++) {
      all.add(token(index));
    }
    return all;
  }

  /** Returns the server-sent event of one token. */
  public String tokenEvent(int index) {
    return serverSentEvent("{\"token\":\"" + token(index) + "\"}");
  }

  /** Returns the final server-sent events of a streamed response: usage and {@code [DONE]}. */
  public String closingEvents() {
    return serverSentEvent("{\"usage\":" + usageJson() + "}") + serverSentEvent("[DONE]");
  }

  /** Returns the complete body of a streamed response. */
  public String streamedResponseBody() {
    StringBuilder body = new StringBuilder();
    for (int index = 0; index < completionTokens; index++) {
      body.append(tokenEvent(index));
    }
    return body.append(closingEvents()).toString();
  }

  /** Returns the body of a response that is not streamed. */
  public String bufferedResponseBody() {
    return "{\"text\":\"" + String.join(" ", tokens()) + "\",\"usage\":" + usageJson() + "}";
  }

  /** Returns the complete response body, streamed or not as the call requests. */
  public String responseBody() {
    return stream ? streamedResponseBody() : bufferedResponseBody();
  }

  private String usageJson() {
    int promptTokens = promptWords().size();
    return "{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}"
        .formatted(promptTokens, completionTokens, promptTokens + completionTokens);
  }

  private static String serverSentEvent(String data) {
    return "data: " + data + "\n\n";
  }
}
