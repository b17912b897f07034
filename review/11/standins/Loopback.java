/** Loopback addresses that other runs don't use at the same time. */
final class Loopback {

  private Loopback() {}

  /** Returns the address of a machine. */
  static String address(int group, int number) {
    return "127.%d.%d.%d".formatted(90 + (int) (ProcessHandle.current().pid() % 100), group, number);
  }
}
