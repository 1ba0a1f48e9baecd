package holdproxy.scale;

/** A measured value and its unit, for example 11.5 "KB/s". */
public record Measurement(double value, String unit) {}
