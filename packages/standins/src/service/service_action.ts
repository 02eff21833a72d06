/** Everything that a service can do. */
export type ServiceAction =
  | {
      kind: 'answer';
      callId: string;
      status: number;
      body: Record<string, unknown>;
    }
  | {kind: 'refuse'; callId: string; code: 'leaving' | 'full'}
  | {kind: 'close'; callId: string}
  | {kind: 'exit'};
