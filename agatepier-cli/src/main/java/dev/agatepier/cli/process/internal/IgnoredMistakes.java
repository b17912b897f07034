package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.SettingsMistake;
import java.util.AbstractList;

/**
 * Discards mistakes below an object that is itself missing or invalid, which is already reported.
 */
final class IgnoredMistakes extends AbstractList<SettingsMistake> {

  @Override
  public boolean add(SettingsMistake mistake) {
    return true;
  }

  @Override
  public SettingsMistake get(int index) {
    throw new IndexOutOfBoundsException(index);
  }

  @Override
  public int size() {
    return 0;
  }
}
