/** Chooses the peers of a period: mostly in one's own region, because bytes between regions are slow and paid for. */
import type {Random} from '../../base/common/random.js';
import type {Member} from './membership.js';

/** Share of contacts that go to another region while the own one has members. */
const REMOTE_SHARE = 0.15;

function pickOne(candidates: readonly Member[], random: Random): Member | undefined {
	return candidates[Math.floor(random() * candidates.length)];
}

/** Chooses up to `count` different members, each time the own region with the greater probability. */
export function choosePeers(candidates: readonly Member[], isNear: (member: Member) => boolean, count: number, random: Random): readonly Member[] {
	return Array.from({length: count}).reduce<readonly Member[]>(chosen => {
		const open = candidates.filter(candidate => !chosen.includes(candidate));
		const near = open.filter(isNear);
		const far = open.filter(candidate => !isNear(candidate));
		const wantsFar = random() < REMOTE_SHARE;
		const pool = (wantsFar && far.length > 0) || near.length === 0 ? far : near;
		const picked = pickOne(pool, random);
		return picked ? [...chosen, picked] : chosen;
	}, []);
}
