/** A request with suspected causes that is sent to an engine now. */
export interface CauseTrial {
  endpoint: string;
  causes: string[];
}
