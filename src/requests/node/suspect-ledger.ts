/** Records crashes and completions of suspects on one daemon, and publishes them to other daemons. */
import type {SuspectGuard} from '../common/suspect-guard.js';
import type {Crash, SuspectTable} from '../common/suspect-table.js';
import type {SuspectTransport} from '../common/suspect-transport.js';

/** The suspects as one daemon records them. */
export type SuspectLedger = Pick<SuspectGuard, 'check'> & {
	/** Clears a request that completed, as far as `SuspectTable.acquit` does. */
	readonly recordCompleted: (fingerprint: string, now: number, isTrial?: boolean) => void;
	/** Clears crashes that were none, by id. */
	readonly withdraw: (crashIds: readonly string[], now: number) => void;
	/** Records a crash under a request; resolves within a bounded time, normally once other daemons have it. */
	readonly recordCrash: (crash: Crash, now: number) => Promise<void>;
};

/** Dependencies of a ledger. */
export type SuspectLedgerDependencies = {
	readonly table: SuspectTable;
	readonly transport: Pick<SuspectTransport, 'announce' | 'report' | 'spread'>;
};

/** Number of newest crashes in one gossip message, which must stay small. */
const MAXIMUM_RUMOR_CRASHES = 4;

/** Creates the ledger of a daemon. */
export function createSuspectLedger({table, transport}: SuspectLedgerDependencies): SuspectLedger {
	async function publishCrashes(crashes: readonly Crash[]): Promise<void> {
		transport.spread(table.recent(MAXIMUM_RUMOR_CRASHES));
		const isAccepted = await transport.report(crashes);
		if (!isAccepted) {
			await transport.announce(crashes);
		}
	}

	function publishCleared(cleared: readonly Crash[]): void {
		if (cleared.length > 0) {
			void publishCrashes(cleared);
		}
	}

	return {
		check: table.check,
		async recordCrash(crash, now) {
			table.add([crash], now);
			await publishCrashes([crash]);
		},
		recordCompleted(fingerprint, now, isTrial) {
			publishCleared(table.acquit(fingerprint, now, isTrial));
		},
		withdraw(crashIds, now) {
			publishCleared(table.withdraw(crashIds, now));
		},
	};
}
