import {measureFleet} from './slopes/fleet.js';
for (const n of process.argv.slice(2).map(Number)) { const t=Date.now();const c=await measureFleet(n);console.log(JSON.stringify(c), Date.now()-t); }
